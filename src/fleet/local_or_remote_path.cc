#include "fleet/local_or_remote_path.h"

#include <utility>

#include "gateway/commit_witness.h"

namespace cardamom {

bool CanServe(const GroupClient& group, const StatementTask& task, bool read_only) {
  if (!read_only && !MayPassOnCommits(group)) {
    return false;
  }
  const bool needs_primary = !read_only || task.route.consistency == Consistency::kPrimary;
  return group.CanServe(needs_primary, task.first_byte_at - task.route.max_staleness);
}

StatementPath& LocalOrRemotePath::Choose(const StatementTask& task, bool read_only) const {
  return CanServe(*m_group, task, read_only) ? *m_local : *m_remote;
}

asio::awaitable<Reply> LocalOrRemotePath::Read(StatementTask task) {
  auto& path = Choose(task, true);
  co_return co_await path.Read(std::move(task));
}

asio::awaitable<Reply> LocalOrRemotePath::Write(StatementTask task) {
  auto& path = Choose(task, false);
  co_return co_await path.Write(std::move(task));
}

asio::awaitable<StatementPath::BeginResult> LocalOrRemotePath::RunFirst(StatementTask task,
                                                                        bool read_only) {
  auto& path = Choose(task, read_only);
  co_return co_await path.RunFirst(std::move(task), read_only);
}

}  // namespace cardamom
