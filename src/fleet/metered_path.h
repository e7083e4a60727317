// Asks for permission under the organisation's quota before an operation runs.
#pragma once

#include <memory>

#include "fleet/quota_client.h"
#include "gateway/statement_path.h"

namespace cardamom {

// An operation is a statement outside a transaction, or a transaction, counted with its first
// statement. Refused operations get kBusy. Not thread safe: all use is on the thread of the
// context.
class MeteredPath : public StatementPath {
 public:
  // `quota` must outlive the object.
  MeteredPath(QuotaClient& quota, std::shared_ptr<StatementPath> path)
      : m_quota(quota), m_path(std::move(path)) {}

  asio::awaitable<Reply> Read(StatementTask task) override;
  asio::awaitable<Reply> Write(StatementTask task) override;
  asio::awaitable<BeginResult> RunFirst(StatementTask task, bool read_only) override;

 private:
  QuotaClient& m_quota;
  const std::shared_ptr<StatementPath> m_path;
};

}  // namespace cardamom
