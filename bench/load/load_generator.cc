#include "bench/load/load_generator.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "async/spawn.h"
#include "bench/cluster/session.h"
#include "proxy/caller_messages.h"

namespace cardamom {
namespace {

constexpr std::size_t kConnectionsPerProxy = 2048;
// The client waits this much longer than the deadline for a response.
constexpr Millis kReplyMargin{2000};
constexpr int kTableRows = 500;

LoadOutcome OutcomeOf(const Outcome<HttpResponse>& response) {
  if (!response) {
    return response.error().ran == Ran::kNo ? LoadOutcome::kNotRun : LoadOutcome::kUnknown;
  }
  if (response->status == 200) {
    return LoadOutcome::kOk;
  }
  const auto problem = DecodeJson<ProblemDetails>(response->body);
  return problem && problem->ran == "no" ? LoadOutcome::kNotRun : LoadOutcome::kUnknown;
}

}  // namespace

LoadGenerator::LoadGenerator(LoadOptions options) : m_options(std::move(options)) {
  for (const auto& proxy : m_options.proxies) {
    m_pools.push_back(std::make_shared<ConnectionPool>(m_context, proxy, kConnectionsPerProxy));
  }
  for (std::size_t i = 0; i < m_options.sessions_per_group * m_options.groups.size(); ++i) {
    m_sessions.push_back(std::make_unique<LoadSession>());
  }
}

LoadGenerator::~LoadGenerator() {
  for (auto& thread : m_threads) {
    thread.join();
  }
}

void LoadGenerator::Start() {
  m_start = Clock::now();
  Spawn(m_context, [this] { return SendArrivals(); });
  for (std::size_t i = 0; i < m_options.threads; ++i) {
    m_threads.emplace_back([this] { m_context.run(); });
  }
}

std::int64_t LoadGenerator::NowUs() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - m_start).count();
}

void LoadGenerator::ExcludeProxy(const Address& proxy) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_pools, [&](const auto& pool) { return pool->peer() == proxy; });
}

LoadResult LoadGenerator::Finish() {
  for (auto& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  LoadResult result;
  result.name = m_options.name;
  result.rate = m_options.requests_per_second;
  result.seconds = std::chrono::duration<double>(m_options.duration).count();
  result.deadline_ms = static_cast<double>(m_options.deadline.count());
  result.samples = m_samples;
  return result;
}

std::shared_ptr<ConnectionPool> LoadGenerator::PickProxy(std::uint64_t random) {
  const std::lock_guard lock(m_mutex);
  return m_pools[random % m_pools.size()];
}

asio::awaitable<void> LoadGenerator::SendArrivals() {
  std::mt19937_64 random(m_options.seed);
  std::exponential_distribution<double> interarrival_seconds(m_options.requests_per_second);
  auto due = m_start;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (std::uint64_t number = 0;; ++number) {
    due += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(interarrival_seconds(random)));
    if (due >= m_start + m_options.duration) {
      co_return;
    }
    if (due > Clock::now()) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::use_awaitable);
    }
    const auto seed = random();
    Spawn(m_context, [this, due, number, seed] { return SendRequest(due, number, seed); });
  }
}

asio::awaitable<void> LoadGenerator::SendRequest(TimePoint due,
                                                 std::uint64_t number,
                                                 std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const bool write = std::uniform_real_distribution<double>(0, 1)(random) >= m_options.read_share;
  const auto group = random() % m_options.groups.size();
  auto& session =
      *m_sessions[group * m_options.sessions_per_group + random() % m_options.sessions_per_group];
  const auto row = static_cast<std::int64_t>(random() % kTableRows);
  CallerStatement statement;
  statement.sql =
      write ? "UPDATE load SET n = n + 1 WHERE id = ?" : "SELECT n FROM load WHERE id = ?";
  statement.params.emplace_back(row);
  if (!write && m_options.max_age) {
    statement.max_age_ms = m_options.max_age->count();
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/groups/" + m_options.groups[group] + (write ? "/write" : "/read");
  request.body = EncodeJson(statement);
  request.headers.push_back({"Cardamom-Deadline-Ms", std::to_string(m_options.deadline.count())});
  if (write) {
    request.headers.push_back(
        {"Idempotency-Key", std::to_string(m_options.seed) + "-" + std::to_string(number)});
  }
  {
    const std::lock_guard lock(session.mutex);
    if (!session.token.empty()) {
      request.headers.push_back({"Cardamom-Session", session.token});
    }
  }
  const auto pool = PickProxy(random());
  const auto response =
      co_await pool->Send(std::move(request), Clock::now() + m_options.deadline + kReplyMargin);
  LoadSample sample;
  sample.due_us = std::chrono::duration_cast<std::chrono::microseconds>(due - m_start).count();
  sample.latency_us =
      std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - due).count();
  sample.write = write;
  sample.outcome = static_cast<int>(OutcomeOf(response));
  sample.group = static_cast<int>(group);
  if (response && response->status == 200) {
    sample.from_replica = response->body.find("\"replica\":true") != std::string::npos;
    if (const auto token = response->Header("Cardamom-Session")) {
      const std::lock_guard lock(session.mutex);
      session.token = *token;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_samples.push_back(sample);
}

void CreateLoadTable(const Address& proxy, const std::string& group) {
  cardamom::Session session(group);
  const auto run = [&](const std::string& sql) {
    const auto reply = session.Write(proxy, sql);
    if (!reply.ok()) {
      throw std::runtime_error("the table of the load was not created: " + reply.body);
    }
  };
  run("CREATE TABLE load (id INTEGER PRIMARY KEY, n INTEGER)");
  run("WITH RECURSIVE c(i) AS (SELECT 0 UNION ALL SELECT i + 1 FROM c WHERE i < " +
      std::to_string(kTableRows - 1) + ") INSERT INTO load SELECT i, 0 FROM c");
}

}  // namespace cardamom
