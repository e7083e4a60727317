#include "fleet/takeover_notices.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "async/spawn.h"

namespace cardamom {
namespace {

constexpr const char* kKeyPrefix = "takeover/";
constexpr Millis kWriteTimeout{800};
constexpr Millis kReleaseTime{30'000};
// A write that was refused shows that the followed rows are not the latest.
constexpr Millis kRetryPause{150};

std::string KeyOf(const GroupId& group) {
  return kKeyPrefix + group.value();
}

// An array, since versions without notices take every object in the table for a member.
std::string Encode(const TakeoverNotice& notice) {
  return EncodeJson(std::vector<TakeoverNotice>{notice});
}

std::optional<TakeoverNotice> Decode(const TableRow& row) {
  if (!row.key.starts_with(kKeyPrefix)) {
    return std::nullopt;
  }
  auto notices = DecodeJson<std::vector<TakeoverNotice>>(row.value);
  if (!notices || notices->size() != 1 || KeyOf(GroupId(notices->front().group)) != row.key) {
    return std::nullopt;
  }
  return std::move(notices->front());
}

}  // namespace

TakeoverNotices::TakeoverNotices(GatewayContext& context,
                                 TablePort table,
                                 const TableFollower& members)
    : m_context(context), m_table(std::move(table)), m_members(members) {}

void TakeoverNotices::AdoptRows() {
  for (const auto& [key, row] : m_members.rows()) {
    const auto notice = Decode(row);
    const StorePosition position{m_members.position().era, row.version};
    if (!notice || std::exchange(m_adopted[key], position) == position) {
      continue;
    }
    auto& gate = m_context.acknowledgements.Of(GroupId(notice->group));
    if (notice->released) {
      gate.Release({notice->token, notice->term, notice->base});
    } else if (notice->token > gate.hold().token()) {
      gate.Hold(notice->token);
    }
  }
  m_changed.NotifyAll();
}

TakeoverNotices::Followed TakeoverNotices::Find(const GroupId& group) const {
  const auto row = m_members.rows().find(KeyOf(group));
  if (row == m_members.rows().end()) {
    return {};
  }
  return {Decode(row->second), row->second.version};
}

asio::awaitable<bool> TakeoverNotices::Write(TakeoverNotice notice, TimePoint deadline) {
  const GroupId group(notice.group);
  while (Clock::now() < deadline) {
    const auto followed = Find(group);
    if (followed.notice && followed.notice->token > notice.token) {
      co_return false;
    }
    const bool is_written = followed.notice && followed.notice->token == notice.token &&
                            (followed.notice->released || !notice.released);
    if (is_written) {
      co_return followed.notice->released == notice.released;
    }
    TableWrite write{m_members.name(), KeyOf(group), followed.version, Encode(notice)};
    const auto written =
        co_await m_table.write(std::move(write), std::min(deadline, Clock::now() + kWriteTimeout));
    if (written && written->applied && written->era == m_members.position().era) {
      co_return true;
    }
    const std::function<bool()> has_changed = [this, &group, version = followed.version] {
      return Find(group).version != version;
    };
    co_await m_changed.WaitUntil(has_changed, std::min(deadline, Clock::now() + kRetryPause));
  }
  co_return false;
}

asio::awaitable<bool> TakeoverNotices::Post(GroupId group,
                                            std::uint64_t token,
                                            TimePoint deadline) {
  m_posted[group] = token;
  const TakeoverNotice notice{.group = group.value(), .token = token};
  co_return co_await Write(notice, deadline);
}

void TakeoverNotices::PostRelease(const GroupId& group, const HoldRelease& release) {
  const auto followed = Find(group);
  const bool is_posted = m_posted.erase(group) > 0;
  const bool is_followed =
      followed.notice && !followed.notice->released && followed.notice->token <= release.token;
  if (!is_posted && !is_followed) {
    return;
  }
  const TakeoverNotice notice{group.value(), release.token, true, release.term, release.base};
  Spawn(m_context.io, [this, notice]() -> asio::awaitable<void> {
    co_await Write(notice, Clock::now() + kReleaseTime);
  });
}

}  // namespace cardamom
