#include "fleet/metered_path.h"

#include <utility>

namespace cardamom {

asio::awaitable<Reply> MeteredPath::Read(StatementTask task) {
  auto refusal = co_await m_quota.Admit(task.organisation, task.statement.id);
  if (refusal) {
    co_return ErrorReply(StatementError::kBusy, std::move(*refusal), SessionState::kIdle);
  }
  co_return co_await m_path->Read(std::move(task));
}

asio::awaitable<Reply> MeteredPath::Write(StatementTask task) {
  auto refusal = co_await m_quota.Admit(task.organisation, task.statement.id);
  if (refusal) {
    co_return ErrorReply(StatementError::kBusy, std::move(*refusal), SessionState::kIdle);
  }
  co_return co_await m_path->Write(std::move(task));
}

asio::awaitable<StatementPath::BeginResult> MeteredPath::RunFirst(StatementTask task,
                                                                  bool read_only) {
  auto refusal = co_await m_quota.Admit(task.organisation, task.statement.id);
  if (refusal) {
    const bool commits = task.statement.kind == StatementKind::kCommit;
    BeginResult refused;
    refused.reply = ErrorReply(StatementError::kBusy, std::move(*refusal),
                               commits ? SessionState::kIdle : SessionState::kFailed);
    co_return refused;
  }
  co_return co_await m_path->RunFirst(std::move(task), read_only);
}

}  // namespace cardamom
