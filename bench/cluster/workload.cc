#include "bench/cluster/workload.h"

#include <random>
#include <stdexcept>
#include <utility>

namespace cardamom {
namespace {

constexpr const char* kCountByIdSql = "SELECT id, count(*) FROM orders GROUP BY id";
constexpr Millis kPollInterval{5};
constexpr int kMaxFinalReadAttempts = 50;

std::map<std::string, int> ToCounts(const CallerResult& result) {
  std::map<std::string, int> counts;
  for (const auto& row : result.rows) {
    counts[std::string(row[0].as_string())] = static_cast<int>(row[1].as_int64());
  }
  return counts;
}

}  // namespace

Workload::Workload(Cluster& cluster, const WorkloadOptions& options)
    : m_cluster(cluster), m_options(options) {
  for (int session = 0; session < options.sessions; ++session) {
    m_threads.emplace_back([this, session] { RunSession(session); });
  }
}

Workload::~Workload() {
  Stop();
}

void Workload::Stop() {
  m_stopping = true;
  for (auto& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

bool Workload::WaitForWrites(std::size_t count, Millis timeout) {
  const auto wanted = m_history.Count(WriteOutcome::kAcknowledged) + count;
  const auto deadline = Clock::now() + timeout;
  while (m_history.Count(WriteOutcome::kAcknowledged) < wanted) {
    if (Clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void Workload::RunSession(int session) {
  std::mt19937_64 random(m_options.seed * 1000 + static_cast<std::uint64_t>(session));
  Session caller(m_options.group);
  caller.set_deadline(m_options.deadline);
  const auto pick_proxy = [&]() -> const Address& {
    for (;;) {
      const auto i = random() % m_cluster.proxy_count();
      if (static_cast<int>(i) != m_excluded_proxy) {
        return m_cluster.proxy(i).caller_address;
      }
    }
  };
  for (int n = 0; !m_stopping; ++n) {
    WriteRecord write;
    write.id = std::to_string(session) + "-" + std::to_string(n);
    write.session = session;
    write.start = Clock::now();
    const auto written = caller.Write(pick_proxy(), "INSERT INTO orders VALUES (?)",
                                      {boost::json::string(write.id)}, "key-" + write.id);
    write.end = Clock::now();
    write.outcome = written.ok()        ? WriteOutcome::kAcknowledged
                    : written.not_run() ? WriteOutcome::kNotRun
                                        : WriteOutcome::kUnknown;
    write.problem = written.problem.title + ": " + written.problem.detail;
    m_history.Add(write);

    ReadRecord read;
    read.session = session;
    read.start = Clock::now();
    std::optional<std::int64_t> age_ms;
    if (m_options.max_age) {
      age_ms = m_options.max_age->count();
    }
    read.max_age = m_options.max_age.value_or(Millis(m_cluster.profile().max_read_age_ms));
    const auto reply = caller.Read(pick_proxy(), kCountByIdSql, {}, age_ms);
    read.end = Clock::now();
    if (reply.ok()) {
      read.row_counts = ToCounts(reply.result);
      read.from_replica = reply.result.replica.value_or(false);
      m_history.Add(std::move(read));
    }
    std::this_thread::sleep_for(m_options.request_delay);
  }
}

void CreateWorkloadTable(Cluster& cluster, const std::string& group) {
  Session session(group);
  const auto reply =
      session.Write(cluster.proxy(0).caller_address, "CREATE TABLE orders (id TEXT)", {}, "create");
  if (!reply.ok()) {
    throw std::runtime_error("the table was not created: " + reply.body);
  }
}

std::map<std::string, int> ReadFinalState(Cluster& cluster,
                                          const std::string& group,
                                          std::size_t proxy) {
  for (int i = 0; i < kMaxFinalReadAttempts; ++i) {
    Session session(group);
    const auto reply = session.Read(cluster.proxy(proxy).caller_address, kCountByIdSql);
    if (reply.ok()) {
      return ToCounts(reply.result);
    }
  }
  throw std::runtime_error("the table cannot be read");
}

}  // namespace cardamom
