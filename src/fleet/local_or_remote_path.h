// Runs statements at a proxy that is a home of their group: over its own links, or through another
// home while this one does not reach the primary.
#pragma once

#include <memory>

#include "fleet/remote_path.h"
#include "gateway/group_client.h"

namespace cardamom {

// Whether `group` can serve the statement from this proxy now. Not thread safe.
bool CanServe(const GroupClient& group, const StatementTask& task, bool read_only);

// Not thread safe: all use is on the thread of the context.
class LocalOrRemotePath : public StatementPath {
 public:
  // `local` uses this proxy's own links. `remote` forwards to other homes and falls back to
  // `local`.
  LocalOrRemotePath(std::shared_ptr<GroupClient> group,
                    std::shared_ptr<StatementPath> local,
                    std::shared_ptr<StatementPath> remote)
      : m_group(std::move(group)), m_local(std::move(local)), m_remote(std::move(remote)) {}

  asio::awaitable<Reply> Read(StatementTask task) override;
  asio::awaitable<Reply> Write(StatementTask task) override;
  asio::awaitable<BeginResult> RunFirst(StatementTask task, bool read_only) override;

 private:
  StatementPath& Choose(const StatementTask& task, bool read_only) const;

  const std::shared_ptr<GroupClient> m_group;
  const std::shared_ptr<StatementPath> m_local;
  const std::shared_ptr<StatementPath> m_remote;
};

}  // namespace cardamom
