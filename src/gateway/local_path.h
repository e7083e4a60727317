// Executes statements directly on servers that this proxy holds links to.
#pragma once

#include <memory>

#include "gateway/group_client.h"
#include "gateway/statement_path.h"
#include "gateway/statement_runner.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context. `runner` must outlive the path and the
// transactions that it opens.
class LocalPath : public StatementPath {
 public:
  LocalPath(StatementRunner& runner, std::shared_ptr<GroupClient> group)
      : m_runner(runner), m_group(std::move(group)) {}

  asio::awaitable<Reply> Read(StatementTask task) override;
  asio::awaitable<Reply> Write(StatementTask task) override;
  asio::awaitable<BeginResult> RunFirst(StatementTask task, bool read_only) override;

 private:
  StatementRunner& m_runner;
  const std::shared_ptr<GroupClient> m_group;
};

}  // namespace cardamom
