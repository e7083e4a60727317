// Runs statements at the servers of a group through one of its home proxies.
#pragma once

#include "fleet/home_client.h"
#include "gateway/statement_path.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context. The references must outlive the path
// and the transactions that it opens.
class RemotePath : public StatementPath {
 public:
  // `local` is set if this proxy is a home itself; it runs the statements that no other home
  // accepts.
  RemotePath(GatewayContext& context,
             HomeClient& homes,
             GroupId group,
             std::size_t max_connections,
             std::shared_ptr<StatementPath> local = nullptr)
      : m_context(context),
        m_homes(homes),
        m_group(std::move(group)),
        m_max_connections(max_connections),
        m_local(std::move(local)) {}

  asio::awaitable<Reply> Read(StatementTask task) override;
  asio::awaitable<Reply> Write(StatementTask task) override;
  asio::awaitable<BeginResult> RunFirst(StatementTask task, bool read_only) override;

 private:
  // Whether this proxy runs the statement itself, because no other home accepted it.
  bool MayFallBackToLocal(const ForwardResult& result) const;

  GatewayContext& m_context;
  HomeClient& m_homes;
  const GroupId m_group;
  const std::size_t m_max_connections;
  const std::shared_ptr<StatementPath> m_local;
};

}  // namespace cardamom
