// The whole proxy.
#pragma once

#include <memory>

#include "http/http_server.h"
#include "proxy/operations_api.h"
#include "proxy/peer_api.h"

namespace cardamom {

// Wires the parts together. Thread safe after Create.
class Proxy {
 public:
  // Listens and starts every loop. Errors: kListenFailed. `context` must outlive the proxy.
  static Outcome<std::unique_ptr<Proxy>> Create(boost::asio::io_context& context,
                                                const Settings& settings);
  ~Proxy();

  const Address& caller_address() const { return m_caller_server->address(); }
  const Address& peer_address() const { return m_peer_server->address(); }
  const Address& operations_address() const { return m_operations_server->address(); }

  // Stops gracefully: turns not ready, waits for the balancer, refuses new work, finishes what is
  // in progress, then calls `on_stopped`.
  void Stop(std::function<void()> on_stopped);

 private:
  Proxy(boost::asio::io_context& context, const Settings& settings);

  Outcome<void> Listen();
  asio::awaitable<void> StopGracefully(std::function<void()> on_stopped);
  asio::awaitable<void> Housekeeping();
  asio::awaitable<void> AskPeersAboutPrimary(const GroupId& group, PrimaryEvidence& evidence);

  boost::asio::io_context& m_io;
  const Settings m_settings;
  EventLog m_events;
  Metrics m_metrics;
  ProxyContext m_context;
  Membership m_membership;
  PlatformClient m_platform;
  PeerClient m_peers;
  GroupTable m_groups;
  ConfigFollower m_config;
  CallerApi m_callers;
  RecordService m_records;
  OperationsApi m_operations;
  PeerApi m_peer_api;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_peer_server;
  std::unique_ptr<HttpServer> m_operations_server;
};

}  // namespace cardamom
