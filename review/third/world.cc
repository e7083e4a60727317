// The cases of the third review that start the project's processes; the first argument names the
// case.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/json/src.hpp>

#include "consumer.h"
#include "deployment.h"

namespace review {
namespace {

// A consumer that opens a session at some ready machine for each operation, and records what it
// got. Every third operation writes.
void Consume(const Deployment& all,
             std::size_t number,
             Tally& tally,
             const std::atomic<bool>& end) {
  for (std::size_t turn = number; !end; ++turn) {
    const auto& machine = *all.machines[turn % all.machines.size()];
    Session session(machine.sessions_port(), "huvo11a", milliseconds(6000));
    const auto id = NewId();
    const auto text = std::string(turn % 3 == 0 ? "PUT 1a4 booked" : "FETCH 1a4");
    StatementResult result;
    if (session.is_open()) {
      result = session.Run(id, text);
    } else {
      result.error = "no session";
    }
    std::ostringstream line;
    line << id << " " << text << " at " << machine.name() << ": " << Describe(result);
    g_record.Add(line.str());
    tally.Add(IsServed(result));
    SleepFor(milliseconds(150));
  }
}

// The system after the final fault: some time after a replica was replaced, the primary is lost for
// good and all processes are killed at once.
int RunRecover(const std::string& program, const std::string& directory, bool trouble) {
  constexpr milliseconds kCalm{12'000};
  constexpr milliseconds kAfterReplicaLost{18'000};
  constexpr milliseconds kDown{1400};
  constexpr milliseconds kRecovery{12'000};
  constexpr milliseconds kJudged{20'000};
  // Its threads run until the process ends.
  static Deployment all;
  if (!StartDeployment(all, 3, "read_your_writes", 1000, program, directory)) {
    StopAll(all);
    return kCouldNotRun;
  }
  Tally tally;
  std::atomic<bool> end = false;
  std::vector<std::thread> consumers;
  constexpr std::size_t kConsumers = 6;
  for (std::size_t i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] { Consume(all, i, tally, end); });
  }
  SleepFor(kCalm);
  const auto before_from = NowMs();
  if (trouble) {
    all.database->Lose("i-r1");
    SleepFor(milliseconds(1000));
    all.database->Start("i-r3");
  }
  SleepFor(kAfterReplicaLost);
  const auto before = tally.Count(before_from, NowMs());
  if (trouble) {
    all.database->Lose(all.database->primary());
  }
  for (const auto& machine : all.machines) {
    machine->Kill();
  }
  SleepFor(kDown);
  for (const auto& machine : all.machines) {
    machine->Start();
  }
  SleepFor(kRecovery);
  const auto after_from = NowMs();
  SleepFor(kJudged);
  const auto after = tally.Count(after_from, NowMs());
  end = true;
  for (auto& consumer : consumers) {
    consumer.join();
  }
  StopAll(all);
  std::ostringstream verdict;
  verdict << "before the final fault " << before.second << " of " << before.first
          << " requests were served; from 12 s after the machines were back " << after.second
          << " of " << after.first;
  g_record.Add(verdict.str());
  std::cout << verdict.str() << "\n";
  if (before.first == 0 || after.first == 0 || 4 * before.second < before.first) {
    return kCouldNotRun;
  }
  return 4 * after.second < after.first ? kBroken : kHeld;
}

// What the platform does to a process over its memory limit: it ends the process and starts it
// again after a short delay.
class MemoryWatch {
 public:
  explicit MemoryWatch(const Deployment& all) : m_all(all), m_ends(all.machines.size()) {
    m_thread = std::thread([this] { Watch(); });
  }

  // Ends the watch; no machine is started again.
  void Stop() {
    m_end = true;
    m_thread.join();
  }

  std::size_t ends(std::size_t machine) const { return m_ends[machine].calm; }
  std::size_t ends_while_cut(std::size_t machine) const { return m_ends[machine].cut; }

  // Machines on which ends are not counted.
  void SetImpaired(std::set<std::string> machines) {
    const std::lock_guard lock(m_mutex);
    m_impaired = std::move(machines);
  }

 private:
  struct Ends {
    std::size_t calm = 0;
    std::size_t cut = 0;
    std::int64_t start_at_ms = 0;
  };

  void Watch() {
    constexpr std::size_t kMemoryMb = 182;
    constexpr std::int64_t kRestartMs = 1000;
    while (!m_end) {
      SleepFor(milliseconds(5));
      for (std::size_t i = 0; i < m_ends.size(); ++i) {
        auto& machine = *m_all.machines[i];
        auto& ends = m_ends[i];
        if (machine.pid() == 0 && NowMs() >= ends.start_at_ms) {
          machine.Start();
        }
        const auto memory = machine.pid() == 0 ? 0 : machine.MemoryMb();
        if (memory > kMemoryMb) {
          g_record.Add(machine.name() + " uses " + std::to_string(memory) + " MB of 182 MB");
          machine.Kill();
          ends.start_at_ms = NowMs() + kRestartMs;
          const std::lock_guard lock(m_mutex);
          ++(m_impaired.contains(machine.name()) ? ends.cut : ends.calm);
        }
      }
    }
  }

  const Deployment& m_all;
  std::vector<Ends> m_ends;
  std::mutex m_mutex;
  std::set<std::string> m_impaired;
  std::atomic<bool> m_end = false;
  std::thread m_thread;
};

// The rule Fault: on two machines at least, processes end by themselves three times without
// impairment there.
int JudgeMemory(const Deployment& all, const MemoryWatch& watch, Tally& tally) {
  std::ostringstream verdict;
  const auto counted = tally.Count(0, NowMs());
  verdict << counted.second << " of " << counted.first
          << " requests were served; over the memory limit:";
  std::size_t machines = 0;
  for (std::size_t i = 0; i < all.machines.size(); ++i) {
    verdict << " " << all.machines[i]->name() << " " << watch.ends(i)
            << " times without impairment and " << watch.ends_while_cut(i) << " with;";
    machines += watch.ends(i) >= 3 ? 1 : 0;
  }
  g_record.Add(verdict.str());
  std::cout << verdict.str() << "\n";
  if (counted.second == 0) {
    return kCouldNotRun;
  }
  return machines >= 2 ? kBroken : kHeld;
}

// A consumer that reads a large result, one at a time, at one machine.
void ReadLarge(const Machine& machine,
               const std::string& host,
               milliseconds retry_pause,
               Tally& tally,
               const std::atomic<bool>& end) {
  while (!end) {
    Session session(machine.sessions_port(), host, milliseconds(6000));
    const auto id = NewId();
    StatementResult result;
    result.error = "no session";
    if (session.is_open()) {
      result = session.Run(id, "FETCH big");
    }
    std::ostringstream line;
    line << id << " FETCH big at " << machine.name() << ": " << result.row_bytes
         << " bytes of rows, " << Describe(result);
    g_record.Add(line.str());
    tally.Add(IsServed(result));
    SleepFor(IsServed(result) ? milliseconds(300) : retry_pause);
  }
}

// Reads of large results while the primary is partitioned from half of the machines, which pass the
// reads on to the others.
int RunLarge(const std::string& program, const std::string& directory, bool trouble) {
  constexpr std::size_t kRows = 60;
  constexpr std::size_t kRowBytes = 1'000'000;
  constexpr int kCuts = 4;
  constexpr milliseconds kCut{7000};
  constexpr milliseconds kPause{8000};
  static Deployment all;
  if (!StartDeployment(all, 4, "primary", 3000, program, directory)) {
    StopAll(all);
    return kCouldNotRun;
  }
  all.database->SetBig(kRows, kRowBytes);
  Tally tally;
  std::atomic<bool> end = false;
  std::vector<std::thread> consumers;
  for (const auto i : {0, 1}) {
    consumers.emplace_back(
        [&, i] { ReadLarge(*all.machines[i], kServices[0].host, milliseconds(300), tally, end); });
  }
  MemoryWatch watch(all);
  SleepFor(kPause);
  for (int i = 0; i < kCuts; ++i) {
    if (trouble) {
      watch.SetImpaired({"edge-0", "edge-1"});
      all.database->Cut({"edge-0", "edge-1"});
    }
    SleepFor(kCut);
    all.database->Cut({});
    SleepFor(kPause);
  }
  end = true;
  for (auto& consumer : consumers) {
    consumer.join();
  }
  watch.Stop();
  StopAll(all);
  return JudgeMemory(all, watch, tally);
}

// Runs one transaction that executes three statements prepared for it, with pauses between them.
StatementResult RunPrepared(Session& session, const std::array<std::string, 3>& shapes) {
  constexpr milliseconds kPause{100};
  StatementResult result;
  const auto run = [&](const std::string& text) {
    if (session.is_open() && result.error.empty()) {
      const auto id = NewId();
      result = session.Run(id, text);
      g_record.Add(id + " " + text.substr(0, 24) + ": " + Describe(result));
    }
  };
  for (std::size_t i = 0; i < shapes.size(); ++i) {
    run("PARSE s" + std::to_string(i) + " FETCH " + shapes[i]);
  }
  run("BEGIN");
  for (std::size_t i = 0; i < shapes.size(); ++i) {
    run("EXECUTE s" + std::to_string(i) + " 1a4");
    SleepFor(kPause);
  }
  run("COMMIT");
  if (!session.is_open()) {
    result.broken_off = true;
    result.signature.clear();
  }
  return result;
}

// A consumer whose sessions run one transaction each, with statements from `variety` different
// ones.
void ConsumePrepared(const Machine& machine,
                     std::size_t number,
                     std::uint32_t variety,
                     Tally& tally,
                     const std::atomic<bool>& end) {
  constexpr std::size_t kShapeBytes = 16'000;
  std::minstd_rand random(static_cast<std::uint32_t>(number + 1));
  while (!end) {
    std::array<std::string, 3> shapes;
    std::ostringstream line;
    for (auto& shape : shapes) {
      const auto variant = std::to_string(1000 + random() % variety);
      line << "FETCH " << variant << "... ";
      shape = variant;
      shape.resize(kShapeBytes, 'q');
    }
    const std::string host = kServices[number % kServices.size()].host;
    Session session(machine.sessions_port(), host, milliseconds(6000));
    StatementResult result;
    result.error = "no session";
    if (session.is_open()) {
      result = RunPrepared(session, shapes);
    }
    line << "in a transaction on " << host << " at " << machine.name() << ": " << Describe(result);
    g_record.Add(line.str());
    tally.Add(IsServed(result));
    SleepFor(milliseconds(IsServed(result) ? 20 : 300));
  }
}

// Consumers that use a thousand different prepared statements.
int RunShapes(const std::string& program, const std::string& directory, bool trouble) {
  constexpr std::size_t kConsumersPerMachine = 110;
  constexpr milliseconds kLength{100'000};
  const std::uint32_t variety = trouble ? 1000 : 3;
  static Deployment all;
  if (!StartDeployment(all, 2, "read_your_writes", 1000, program, directory, kServices.size())) {
    StopAll(all);
    return kCouldNotRun;
  }
  Tally tally;
  std::atomic<bool> end = false;
  std::vector<std::thread> consumers;
  for (std::size_t i = 0; i < all.machines.size() * kConsumersPerMachine; ++i) {
    consumers.emplace_back([&, i] {
      ConsumePrepared(*all.machines[i % all.machines.size()], i / all.machines.size(), variety,
                      tally, end);
    });
  }
  MemoryWatch watch(all);
  SleepFor(kLength);
  end = true;
  for (auto& consumer : consumers) {
    consumer.join();
  }
  watch.Stop();
  StopAll(all);
  return JudgeMemory(all, watch, tally);
}

// Consumers that read results of 1 MB at a time, in one row or in a hundred.
int RunRows(const std::string& program, const std::string& directory, bool trouble) {
  constexpr std::size_t kConsumersPerMachine = 140;
  constexpr std::size_t kResultBytes = 1'000'000;
  constexpr milliseconds kPer50Kb{95};
  constexpr milliseconds kLength{75'000};
  static Deployment all;
  if (!StartDeployment(all, 2, "bounded_staleness", 6000, program, directory, kServices.size())) {
    StopAll(all);
    return kCouldNotRun;
  }
  const std::size_t rows = trouble ? 1 : 100;
  all.database->SetBig(rows, kResultBytes / rows, kPer50Kb);
  for (const auto& database : all.more_databases) {
    database->SetBig(rows, kResultBytes / rows, kPer50Kb);
  }
  Tally tally;
  std::atomic<bool> end = false;
  std::vector<std::thread> consumers;
  for (std::size_t i = 0; i < all.machines.size() * kConsumersPerMachine; ++i) {
    consumers.emplace_back([&, i] {
      ReadLarge(*all.machines[i % all.machines.size()],
                kServices[i / all.machines.size() % kServices.size()].host, milliseconds(2500),
                tally, end);
    });
  }
  MemoryWatch watch(all);
  SleepFor(kLength);
  end = true;
  for (auto& consumer : consumers) {
    consumer.join();
  }
  watch.Stop();
  StopAll(all);
  return JudgeMemory(all, watch, tally);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  if (argc != 5) {
    std::cerr << "usage: world CASE PROGRAM DIRECTORY RECORD\n";
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
  g_record.Open(argv[4]);
  int result = kCouldNotRun;
  if (name == "recover") {
    result = RunRecover(argv[2], argv[3], trouble);
  } else if (name == "large") {
    result = RunLarge(argv[2], argv[3], trouble);
  } else if (name == "rows") {
    result = RunRows(argv[2], argv[3], trouble);
  } else if (name == "shapes") {
    result = RunShapes(argv[2], argv[3], trouble);
  }
  std::cout << "result " << result << std::endl;
  std::_Exit(result);
}
