// Demonstrates a write, a read through another proxy, a failover and a drain, step by step. Exits
// with a non-zero status if a step fails.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "bench/cluster/cluster.h"
#include "bench/cluster/session.h"

namespace {

using cardamom::Clock;
using cardamom::Millis;

int g_failures = 0;

void CheckStep(bool passed, const std::string& what) {
  std::cout << (passed ? "[ok]     " : "[FAILED] ") << what << std::endl;
  g_failures += passed ? 0 : 1;
}

std::string ServedBy(const cardamom::CallerReply& reply) {
  return reply.result.endpoint.value_or("nobody") +
         (reply.result.replica.value_or(false) ? " (replica)" : " (primary)");
}

void Run() {
  cardamom::Cluster cluster({.proxies = 2});
  std::cout << "one platform and two proxies run: callers on "
            << cluster.proxy(0).caller_address.ToString() << " and "
            << cluster.proxy(1).caller_address.ToString() << std::endl;
  cluster.AddGroup("bookings");
  CheckStep(!cluster.PrimaryOf("bookings").empty(),
            "record submitted; primary is " + cluster.PrimaryOf("bookings"));

  cardamom::Session session("bookings");
  auto reply = session.Write(cluster.proxy(0).caller_address,
                             "CREATE TABLE pickups (id INTEGER PRIMARY KEY, place TEXT)");
  CheckStep(reply.ok(), "table created through proxy 0");
  reply = session.Write(cluster.proxy(0).caller_address,
                        "INSERT INTO pickups VALUES (1, 'Brescia')", {}, "pickup-1");
  CheckStep(reply.ok(), "pickup 1 written through proxy 0");
  reply = session.Read(cluster.proxy(1).caller_address, "SELECT place FROM pickups WHERE id = 1");
  CheckStep(reply.ok() && reply.result.rows.size() == 1 && reply.result.replica.value_or(false),
            "pickup 1 read through proxy 1, served by " + ServedBy(reply));
  reply = session.Write(cluster.proxy(1).caller_address,
                        "INSERT INTO pickups VALUES (1, 'Brescia')", {}, "pickup-1");
  CheckStep(reply.ok() && reply.result.replayed.value_or(false),
            "the same key through proxy 1 gives the stored answer");

  const auto old_primary = cluster.PrimaryOf("bookings");
  const auto killed_at = Clock::now();
  cluster.endpoint(old_primary).process->Kill();
  reply = session.Write(cluster.proxy(1).caller_address, "INSERT INTO pickups VALUES (2, 'Verona')",
                        {}, "pickup-2");
  const auto gap = cardamom::ToMillis(Clock::now() - killed_at).count();
  CheckStep(reply.ok(), "primary " + old_primary + " killed; the next write was acknowledged " +
                            std::to_string(gap) + " ms later by " +
                            cluster.PrimaryOf("bookings", 1));
  reply = session.Read(cluster.proxy(0).caller_address, "SELECT count(*) FROM pickups");
  CheckStep(reply.ok() && reply.result.rows.size() == 1 && reply.result.rows[0][0] == 2,
            "both pickups read through proxy 0, served by " + ServedBy(reply));

  auto record = cluster.RecordOf("bookings");
  const auto drained_primary = cluster.PrimaryOf("bookings");
  cluster.AddEndpoint("bookings", "bookings-d");
  record.endpoints.push_back({cardamom::EndpointId("bookings-d"),
                              cluster.endpoint("bookings-d").address.ToString(),
                              cardamom::FailureDomain("domain0"), cardamom::Region(), false});
  for (auto& endpoint : record.endpoints) {
    endpoint.leaving = endpoint.id.value() == drained_primary || endpoint.id.value() == old_primary;
  }
  const auto replaced = cluster.ReplaceRecord(record);
  CheckStep(replaced.status == 200, "record replaced: " + drained_primary + " and " + old_primary +
                                        " leave, bookings-d joins");
  const bool moved = cluster.WaitForStatus(
      0,
      [&](const cardamom::ProxyStatus& status) {
        return !status.groups.empty() && status.groups[0].primary.value() != drained_primary;
      },
      Millis(5000));
  CheckStep(moved, "the primary moved to " + cluster.PrimaryOf("bookings"));
  reply = session.Write(cluster.proxy(0).caller_address, "INSERT INTO pickups VALUES (3, 'Cuneo')",
                        {}, "pickup-3");
  CheckStep(reply.ok(), "pickup 3 written after the drain");
  reply = session.Read(cluster.proxy(1).caller_address, "SELECT count(*) FROM pickups");
  CheckStep(reply.ok() && reply.result.rows.size() == 1 && reply.result.rows[0][0] == 3,
            "three pickups read through proxy 1, served by " + ServedBy(reply));

  cluster.proxy(0).process->Signal(SIGTERM);
  const auto code = cluster.proxy(0).process->Wait(Millis(10'000));
  CheckStep(code == 0, "proxy 0 stopped gracefully");
}

}  // namespace

int main() {
  try {
    Run();
  } catch (const std::exception& failure) {
    CheckStep(false, failure.what());
  }
  std::cout << (g_failures == 0 ? "every step held" : "some steps did not hold") << std::endl;
  return g_failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
