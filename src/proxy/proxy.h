// The proxy process: its components, listeners and background loops.
#pragma once

#include <memory>

#include "http/http_server.h"
#include "proxy/operations_api.h"
#include "proxy/peer_api.h"

namespace cardamom {

// Owns the components of the proxy and connects them. Thread safe after Create.
class Proxy {
 public:
  // Starts to listen and starts the background loops. Errors: kListenFailed. The addresses in
  // `settings` must be valid. `context` must outlive the proxy and must not run after the proxy is
  // destroyed.
  static Outcome<std::unique_ptr<Proxy>> Create(boost::asio::io_context& context,
                                                const Settings& settings);
  ~Proxy();

  // The addresses in use, with the ports that the kernel chose.
  const Address& caller_address() const { return m_caller_server->address(); }
  const Address& peer_address() const { return m_peer_server->address(); }
  const Address& operations_address() const { return m_operations_server->address(); }

  // Stops gracefully: reports not ready, gives load balancers stop-notice-ms to notice, refuses new
  // work, waits up to stop-limit-ms for requests and transactions in progress, then calls
  // `on_stopped`. Requests that arrive during the stop get their response before its end; the last
  // 700 ms of stop-limit-ms, at most half of it, are reserved for that, and transactions that are
  // still open then are rolled back. Returns at once.
  void Stop(std::function<void()> on_stopped);

 private:
  Proxy(boost::asio::io_context& context, const Settings& settings);

  Outcome<void> Listen();
  asio::awaitable<void> StopGracefully(std::function<void()> on_stopped);
  asio::awaitable<void> Housekeeping();
  // Asks other homes of `group` whether they reach its primary. Counts in `evidence` those that
  // have a recent observation, and those of them that fail to reach it.
  asio::awaitable<void> AskPeersAboutPrimary(const GroupId& group, PrimaryEvidence& evidence);

  boost::asio::io_context& m_io;
  const Settings m_settings;
  EventLog m_events;
  Metrics m_metrics;
  ProxyContext m_context;
  Membership m_membership;
  PlatformClient m_platform;
  PeerClient m_peers;
  GroupRegistry m_groups;
  ConfigFollower m_config;
  CallerApi m_caller_api;
  RecordService m_record_service;
  OperationsApi m_operations_api;
  PeerApi m_peer_api;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_peer_server;
  std::unique_ptr<HttpServer> m_operations_server;
};

}  // namespace cardamom
