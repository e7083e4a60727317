// Adapter to the platform, over the contract of docs/PLATFORM-CONTRACT.md.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/connection_pool.h"
#include "table/platform_messages.h"

namespace cardamom {

// Thread safe. Errors: kPlatformUnavailable; after a change, `ran` says whether it may have taken
// effect.
class PlatformClient {
 public:
  PlatformClient(asio::io_context& context, const Address& address, std::string from);

  asio::awaitable<Outcome<TransactAnswer>> Transact(TransactRequest request, TimePoint deadline);
  asio::awaitable<Outcome<TableReadAnswer>> Read(TableReadRequest request, TimePoint deadline);

  // The VM list and the tag of its version.
  struct TaggedVmList {
    std::string tag;
    // Nothing if the list is still the one that `known_tag` names.
    std::optional<VmList> list;
  };
  asio::awaitable<Outcome<TaggedVmList>> Vms(std::string known_tag, TimePoint deadline);

 private:
  asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline);

  std::string m_from;
  std::shared_ptr<ConnectionPool> m_pool;
};

}  // namespace cardamom
