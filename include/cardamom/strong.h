// Strong types for identifiers and units.
//
// Thread safety: all types here are values; distinct objects may be used from distinct threads.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cardamom {

// A value of type `Rep` that does not convert to or from other strong types.
template <typename Tag, typename Rep>
class Strong {
 public:
  using RepType = Rep;

  Strong() = default;
  explicit Strong(Rep value) : m_value(std::move(value)) {}

  const Rep& value() const { return m_value; }

  auto operator<=>(const Strong&) const = default;
  bool operator==(const Strong&) const = default;

 private:
  Rep m_value{};
};

using GroupId = Strong<struct GroupIdTag, std::string>;
using EndpointId = Strong<struct EndpointIdTag, std::string>;
using VmId = Strong<struct VmIdTag, std::string>;
using FailureDomain = Strong<struct FailureDomainTag, std::string>;
using Region = Strong<struct RegionTag, std::string>;
using IdempotencyKey = Strong<struct IdempotencyKeyTag, std::string>;
using TransactionId = Strong<struct TransactionIdTag, std::string>;

// The term of a primary. Terms of one group never decrease.
using Term = Strong<struct TermTag, std::uint64_t>;
// An index into the log of a group. The first entry has index 1.
using LogIndex = Strong<struct LogIndexTag, std::uint64_t>;
// Revision of the whole configuration. A process never adopts a lower revision.
using Revision = Strong<struct RevisionTag, std::uint64_t>;

// A position in the log of a group, ordered by term and then index.
struct Position {
  Term term;
  LogIndex index;

  auto operator<=>(const Position&) const = default;
  bool operator==(const Position&) const = default;
};

}  // namespace cardamom

template <typename Tag, typename Rep>
struct std::hash<cardamom::Strong<Tag, Rep>> {
  std::size_t operator()(const cardamom::Strong<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};
