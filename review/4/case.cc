// The machines of a small fleet are replaced one after the other, until all lose power at once. The
// rule RECOVER: a quarter of the requests is served some time after the machines are back.
//
// Usage: case4 RECORD FOLDER TROUBLE; exits with 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "review/world/world.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

// Machines that each place has had before the final fault.
constexpr int kMachinesBefore = 10;
constexpr Millis kDown{750};
// Bounds of the small sites.
constexpr Millis kRecovery{12'000};
constexpr Millis kMeasure{8000};
constexpr Millis kPause{50};
constexpr int kConsumers = 4;

class Case {
 public:
  Case(const std::string& record, std::string folder, bool trouble)
      : m_record(record), m_folder(std::move(folder)), m_trouble(trouble), m_store(m_io) {}

  int Run() {
    Spawn(m_io, [this] { return Play(); });
    m_io.run_for(std::chrono::seconds(110));
    m_places.clear();
    return m_result;
  }

 private:
  struct Place {
    std::string zone;
    int machines = 0;
    std::uint16_t control = 0;
    std::unique_ptr<Gateway> gateway;
  };
  struct Count {
    int sent = 0;
    int served = 0;
  };

  asio::awaitable<void> Play() {
    m_group.work = Millis(11);
    for (const std::string zone : {"brescia", "verona", "cuneo"}) {
      m_group.Add("i-" + zone, zone);
      m_places.push_back(Place{zone, 0, 0, nullptr});
    }
    PutConfig();
    for (int i = 0; i < kMachinesBefore; ++i) {
      for (auto& place : m_places) {
        // SIGKILL, as at a loss of power; at the first turn there is nothing to end. The machines
        // are replaced one at a time.
        place.gateway.reset();
        StartMachine(place);
        const bool ready = co_await place.gateway->WaitUntilReady();
        if (!ready) {
          m_record.Line("a gateway did not become ready");
          m_io.stop();
          co_return;
        }
      }
    }
    co_await Sleep(Millis(5000));
    const auto before = co_await Measure("before the final fault");
    m_record.Line("the final fault: all machines lose power");
    for (auto& place : m_places) {
      place.gateway.reset();
    }
    co_await Sleep(kDown);
    for (auto& place : m_places) {
      StartMachine(place);
    }
    const bool back = co_await WaitUntilAllReady();
    m_record.Line(back ? "all are ready" : "not all are ready");
    co_await Sleep(kRecovery);
    const auto after = co_await Measure("later than recovery_s after the machines are back");
    std::cout << "before: " << before.served << " of " << before.sent
              << " served; after: " << after.served << " of " << after.sent << " served; "
              << m_store.Count("members") << " rows of members" << std::endl;
    const bool served_before = before.sent > 0 && 4 * before.served >= before.sent;
    const bool served_after = 4 * after.served >= after.sent;
    m_result = !served_before || after.sent == 0 ? 2 : served_after ? 0 : 1;
    m_io.stop();
  }

  void PutConfig() {
    const json::array routes{json::object{{"name", "r-1"},
                                          {"host", "prenota"},
                                          {"prefix", "/"},
                                          {"kind", "primary"},
                                          {"timeout_ms", 1000},
                                          {"target_latency_ms", 400},
                                          {"priority", 1},
                                          {"service", m_service},
                                          {"max_attempts", 2}}};
    const json::array services{json::object{{"name", m_service},
                                            {"health_path", "/health"},
                                            {"max_conns", 79},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"sync_replicas", 1}}};
    m_store.Put("op", "config",
                json::serialize(json::object{
                    {"version", 7},
                    {"routes", routes},
                    {"services", services},
                    {"limits", json::object{{"header_timeout_ms", 3000}, {"tx_idle_ms", 3000}}}}));
  }

  // Starts a new machine at another address; without the disruption, the same machine again.
  void StartMachine(Place& place) {
    const bool is_new = m_trouble || place.machines == 0;
    if (is_new) {
      ++place.machines;
      place.control = FreePort();
    }
    const auto name = "edge-" + place.zone + "-" + std::to_string(place.machines);
    m_record.Line("starts " + name);
    const auto control = "127.0.0.1:" + std::to_string(place.control);
    const auto seed = "127.0.0.1:" + std::to_string(m_places.front().control);
    place.gateway = std::make_unique<Gateway>(
        m_folder, name,
        std::map<std::string, std::string>{{"zone", place.zone},
                                           {"region", "region-" + place.zone},
                                           {"listen.control", control},
                                           {"seeds", seed},
                                           {"limits.cpu_share", "0.17"},
                                           {"platform.address", m_store.address()},
                                           {"cloud.address", m_cloud.address()},
                                           {"limits.max_fds", "2940"},
                                           {"bounds.config_apply_ms", "3000"},
                                           {"bounds.drain_ms", "7000"},
                                           {"bounds.grace_s", "6"}});
  }

  asio::awaitable<bool> WaitUntilAllReady() {
    for (const auto& place : m_places) {
      const bool ready = co_await place.gateway->WaitUntilReady();
      if (!ready) {
        m_record.Line("a gateway did not become ready");
        co_return false;
      }
    }
    co_return true;
  }

  asio::awaitable<Count> Measure(std::string when) {
    Count count;
    const auto until = m_record.Now() + kMeasure.count();
    int running = kConsumers;
    for (int i = 0; i < kConsumers; ++i) {
      Spawn(m_io, [this, i, until, &count, &running]() -> asio::awaitable<void> {
        co_await Consume(i, until, count);
        --running;
      });
    }
    while (running > 0) {
      co_await Sleep(kPause);
    }
    m_record.Line(when + ": " + std::to_string(count.served) + " of " + std::to_string(count.sent) +
                  " requests served");
    co_return count;
  }

  asio::awaitable<void> Consume(int number, std::int64_t until, Count& count) {
    const auto& place = m_places[static_cast<std::size_t>(number) % m_places.size()];
    while (m_record.Now() < until) {
      Session session(m_io);
      const bool connected = co_await session.Connect(place.gateway->sessions_port(), "prenota");
      const auto id = "c" + std::to_string(++m_sent);
      ++count.sent;
      if (connected) {
        const auto answer = co_await session.Query(id, "FETCH 1a4");
        count.served += answer.outcome == Session::Outcome::kComplete ? 1 : 0;
        m_record.Line(place.zone + " " + id + " " + answer.text);
      }
      session.Close();
      co_await Sleep(kPause);
    }
  }

  asio::io_context m_io;
  Record m_record;
  const std::string m_folder;
  const bool m_trouble;
  Store m_store;
  // The names of services are new each day.
  const std::string m_service =
      std::getenv("SERVICE") == nullptr ? "archivio" : std::getenv("SERVICE");
  Group m_group{m_io, m_record, m_store, m_service};
  HttpListener m_cloud{m_io, [this](HttpCall call) { return m_group.Promote(std::move(call)); }};
  std::vector<Place> m_places;
  int m_sent = 0;
  int m_result = 2;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    review::Case play(argv[1], argv[2], std::string(argv[3]) != "0");
    return play.Run();
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << std::endl;
    return 2;
  }
}
