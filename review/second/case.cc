// Plays one script case: case NAME FOLDER. The environment variable TROUBLE is 0 for the same
// without the trouble. Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "world.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr int kMemoryMb = 182;
constexpr const char* kDatabase = "orders";

// The store with a config, the database and the gateways, all of them ready.
class Deployment {
 public:
  Deployment(Record& record, const std::string& directory, int gateways)
      : m_platform(record), m_database(m_platform, record, "ledger") {
    m_platform.Put("op", "config",
                   R"({"version":1,"routes":[{"name":"r1","host":"orders","prefix":"/",)"
                   R"("kind":"primary","timeout_ms":3000,"target_latency_ms":400,"priority":1,)"
                   R"("service":"ledger","max_attempts":2}],"services":[{"name":"ledger",)"
                   R"("health_path":"/health","max_conns":79,"protocol":"h1","tls":false,)"
                   R"("sync_replicas":1}],"limits":{"max_header_bytes":16384,)"
                   R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
                   R"("idle_timeout_ms":15000,"tx_idle_ms":3000}})");
    m_platform.Start();
    m_database.Start();
    for (int i = 1; i <= gateways; ++i) {
      m_gateways.push_back(std::make_unique<Gateway>("edge-one-" + std::to_string(i), directory,
                                                     m_platform.address(), kMemoryMb, record));
    }
  }

  // Ends the gateways.
  void Stop() {
    for (auto& gateway : m_gateways) {
      gateway->Stop();
    }
  }

  bool Start() {
    for (auto& gateway : m_gateways) {
      if (!gateway->Start()) {
        return false;
      }
    }
    const auto deadline = Clock::now() + std::chrono::seconds(20);
    for (auto& gateway : m_gateways) {
      while (!gateway->IsReady()) {
        if (Clock::now() > deadline) {
          return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    }
    return true;
  }

  Database& database() { return m_database; }
  Gateway& gateway(std::size_t i) { return *m_gateways[i]; }

 private:
  Platform m_platform;
  Database m_database;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
};

// The deployment of this process. Threads of the stand-ins use it until the process ends.
Deployment* g_deployment = nullptr;

Deployment& Deploy(Record& record, const std::string& directory, int gateways) {
  g_deployment = new Deployment(record, directory, gateways);
  return *g_deployment;
}

// PINNED: a COMMIT runs where a session value that was acknowledged is not set.
int PlayPinned(Record& record, const std::string& directory, bool trouble) {
  auto& deployment = Deploy(record, directory, 2);
  if (!deployment.Start()) {
    return kCannotRun;
  }
  constexpr int kTransactions = 20;
  int committed = 0;
  int broken = 0;
  for (int i = 0; i < kTransactions; ++i) {
    Caller caller(record);
    if (!caller.Open(deployment.gateway(static_cast<std::size_t>(i % 2)).session_port(),
                     kDatabase)) {
      continue;
    }
    const auto value = "clerk-" + std::to_string(i);
    const auto set = [&] { return caller.Ask(NewId(), "SET author " + value).ok(); };
    const bool set_before = trouble || set();
    const bool begun = caller.Ask(NewId(), "BEGIN").ok() &&
                       caller.Ask(NewId(), "PUT item" + std::to_string(i) + " data").ok();
    const bool set_within = !trouble || set();
    const auto id = NewId();
    const bool done = set_before && begun && set_within && caller.Ask(id, "COMMIT").ok();
    committed += done ? 1 : 0;
    for (const auto& run : deployment.database().RunsOf({id})) {
      const auto held = run.values.find("author");
      const auto shown = held == run.values.end() ? "(not set)" : held->second;
      if (shown != value) {
        ++broken;
        std::ostringstream text;
        text << "PINNED: COMMIT " << id << " ran at " << run.server << " with author = " << shown
             << "; acknowledged to its caller: " << value;
        record.Add(text.str());
      }
    }
  }
  record.Add(std::to_string(committed) + " of " + std::to_string(kTransactions) +
             " transactions committed, " + std::to_string(broken) + " with other session values");
  if (committed < kTransactions / 2) {
    return kCannotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

// Sends statements to one gateway, one after the other, until `stop`. Opens the session again when
// it breaks. Returns the number of statements that succeeded.
int SendUntil(Record& record,
              const std::atomic<bool>& stop,
              int port,
              const std::function<bool(Caller& caller)>& statement) {
  int succeeded = 0;
  Caller caller(record);
  bool open = false;
  while (!stop) {
    if (!open) {
      open = caller.Open(port, kDatabase);
      if (!open) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        continue;
      }
    }
    open = statement(caller);
    succeeded += open ? 1 : 0;
  }
  return succeeded;
}

// Fault: processes exceed their memory three times a day on two machines.
int PlayMemory(Record& record,
               const std::string& directory,
               std::chrono::seconds length,
               const std::function<bool(Caller& caller)>& statement) {
  constexpr std::size_t kGateways = 2;
  constexpr int kEnds = 3;
  auto& deployment = Deploy(record, directory, kGateways);
  if (!deployment.Start()) {
    return kCannotRun;
  }
  std::atomic<bool> stop = false;
  std::atomic<int> succeeded = 0;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kGateways; ++i) {
    threads.emplace_back([&, port = deployment.gateway(i).session_port()] {
      succeeded += SendUntil(record, stop, port, statement);
    });
  }
  const auto end = Clock::now() + length;
  const auto machines_ended = [&] {
    int machines = 0;
    for (std::size_t i = 0; i < kGateways; ++i) {
      machines += deployment.gateway(i).ends() >= kEnds ? 1 : 0;
    }
    return machines;
  };
  while (Clock::now() < end && machines_ended() < 2) {
    for (std::size_t i = 0; i < kGateways; ++i) {
      deployment.gateway(i).Supervise();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  stop = true;
  for (auto& thread : threads) {
    thread.join();
  }
  for (std::size_t i = 0; i < kGateways; ++i) {
    record.Add("edge-one-" + std::to_string(i + 1) + ": ended " +
               std::to_string(deployment.gateway(i).ends()) + " times, at most " +
               std::to_string(deployment.gateway(i).peak_kb()) + " KB");
  }
  record.Add(std::to_string(succeeded.load()) + " statements succeeded");
  if (succeeded == 0) {
    return kCannotRun;
  }
  return machines_ended() >= 2 ? kBroken : kHeld;
}

int Play(const std::string& name, Record& record, const std::string& directory, bool trouble) {
  constexpr std::size_t kLongField = 500'000;
  const std::string filler(kLongField, 'x');
  if (name == "pinned") {
    return PlayPinned(record, directory, trouble);
  }
  if (name == "ids") {
    // The same bytes, in the id or in the data.
    return PlayMemory(record, directory, std::chrono::seconds(80), [&](Caller& caller) {
      const auto id = NewId();
      return trouble ? caller.Ask(id + filler, "PUT item data").ok()
                     : caller.Ask(id, "PUT item " + filler).ok();
    });
  }
  return kCannotRun;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 3) {
    return review::kCannotRun;
  }
  const std::string name = arguments[1];
  const std::string folder = arguments[2];
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  auto directory = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(directory.data()) == nullptr) {
    return review::kCannotRun;
  }
  review::Record record(folder + "/record.txt");
  const int result = review::Play(name, record, directory, trouble);
  if (review::g_deployment != nullptr) {
    review::g_deployment->Stop();
  }
  record.Add(result == 1   ? "the rule was broken"
             : result == 0 ? "the rule held"
                           : "the case could not run");
  std::filesystem::remove_all(directory);
  std::cout << name << ": " << result << std::endl;
  std::_Exit(result);
}
