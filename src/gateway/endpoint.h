// This proxy's state for one database server: its links and the estimates from its answers.
#pragma once

#include <memory>
#include <optional>

#include "directory/endpoint_entry.h"
#include "pool/endpoint_admission.h"
#include "pool/link_pool.h"
#include "routing/server_choice.h"

namespace cardamom {

// Not thread safe: all use is on the thread of the context.
struct Endpoint {
  Endpoint(EndpointEntry listed,
           std::shared_ptr<LinkPool> links,
           std::shared_ptr<EndpointAdmission> endpoint_admission,
           Duration base_latency)
      : entry(std::move(listed)),
        pool(std::move(links)),
        admission(std::move(endpoint_admission)),
        latency(base_latency) {}

  EndpointEntry entry;
  // When this proxy first saw the process listed.
  TimePoint listed_since = Clock::now();
  std::shared_ptr<LinkPool> pool;
  // Limits the statements in progress. Statements of open transactions bypass it.
  std::shared_ptr<EndpointAdmission> admission;
  LatencyEstimate latency;
  // Statements of this proxy in progress at the server or waiting to be sent to it. The first
  // statement of a transaction is not counted.
  std::size_t outstanding = 0;
  // Estimate of the replication lag, and when it was last updated.
  Duration lag{};
  BootTime lag_updated_at;
  // No reads go to the server as a replica before this time, since the last attempts failed.
  TimePoint backoff_until;
  int consecutive_failures = 0;
  // A probe that checks whether the server is the primary is in progress.
  bool probing = false;
  // Greatest position that the server reported: of its log, or of what it had applied.
  Position last_position;
  // When the list first showed the server as leaving.
  std::optional<TimePoint> leaving_since;
};

// Counts a statement in Endpoint::outstanding while this object lives. Not thread safe.
class OutstandingCount {
 public:
  explicit OutstandingCount(std::shared_ptr<Endpoint> endpoint) : m_endpoint(std::move(endpoint)) {
    ++m_endpoint->outstanding;
  }
  ~OutstandingCount() { --m_endpoint->outstanding; }
  OutstandingCount(const OutstandingCount&) = delete;
  OutstandingCount& operator=(const OutstandingCount&) = delete;

 private:
  std::shared_ptr<Endpoint> m_endpoint;
};

}  // namespace cardamom
