// Asks the meter of this proxy's failure domain for permission to run operations.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "fleet/quota_service.h"
#include "statement/statement.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context.
class QuotaClient {
 public:
  // All references must outlive the client.
  QuotaClient(GatewayContext& context, QuotaService& service, QuotaPeers& peers)
      : m_context(context), m_service(service), m_peers(peers) {}

  bool HasQuotas() const { return m_service.HasQuotas(); }

  // Asks for one operation. Returns nullopt if it is admitted, and otherwise the text of the
  // refusal, which names a time to return. Calls that come while a request for the organisation is
  // in progress share the next one.
  asio::awaitable<std::optional<std::string>> Admit(OrganisationName organisation,
                                                    RequestId request);

 private:
  struct Batch {
    std::int64_t wanted = 0;
    std::int64_t granted = 0;
    std::int64_t retry_ms = 0;
    // When the request that was granted was sent.
    BootTime sent_at;
    bool done = false;
    Notifier answered;
  };
  using BatchPtr = std::shared_ptr<Batch>;
  struct Queue {
    // The batch that is sent next; null if nothing waits.
    BatchPtr next;
    bool sending = false;
    // Refusals since the last event.
    std::int64_t refused = 0;
    TimePoint next_event;
  };

  asio::awaitable<void> SendBatches(OrganisationName organisation);
  asio::awaitable<void> AskMeters(OrganisationName organisation, BatchPtr batch);
  std::string Refuse(Queue& queue,
                     const OrganisationName& organisation,
                     const RequestId& request,
                     std::int64_t retry_ms);

  GatewayContext& m_context;
  QuotaService& m_service;
  QuotaPeers& m_peers;
  std::map<OrganisationName, Queue> m_queues;
};

}  // namespace cardamom
