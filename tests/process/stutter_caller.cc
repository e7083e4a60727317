#include "stutter_caller.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace cardamom::stutter {
namespace {

constexpr Millis kAnswerTimeout{4000};
constexpr Millis kReopenDelay{20};
constexpr int kMaxPauseMillis = 6;
constexpr int kMaxStatements = 5;
constexpr int kItems = 40;
constexpr int kNames = 4;
constexpr double kWriteShare = 0.4;

}  // namespace

StutterCaller::StutterCaller(CallerOptions options, Journal& journal)
    : m_options(std::move(options)), m_journal(journal), m_random(m_options.seed) {}

bool StutterCaller::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

int StutterCaller::Below(int bound) {
  return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
}

std::string StutterCaller::NextId() {
  return fmt::format("{:08x}{:08x}", m_journal.NextNumber(), m_random() & 0xffffffff);
}

std::string StutterCaller::Item() {
  return fmt::format("i{}", Below(kItems));
}

StutterCaller::Text StutterCaller::AnyText(bool may_write) {
  const bool writes = may_write && Chance(kWriteShare);
  if (!m_prepared.empty() && Chance(0.3)) {
    const auto& [name, shape] =
        *std::next(m_prepared.begin(), Below(static_cast<int>(m_prepared.size())));
    const bool shape_writes = shape.rfind("PUT", 0) == 0;
    if (!shape_writes || may_write) {
      return {fmt::format("EXECUTE {} {}{}", name, Item(), shape_writes ? " data" : ""), shape};
    }
  }
  if (Chance(0.1)) {
    return {writes ? "PUT " + Item() + " " + OddText() : "FETCH " + Item() + " " + OddText(), ""};
  }
  return {writes ? fmt::format("PUT {} d{}", Item(), Below(1000)) : "FETCH " + Item(), ""};
}

std::string StutterCaller::OddText() {
  static const std::array<std::string, 8> kTexts = {
      "a  b", "a ", " a", "'a' \"b\" ;--", "\xff\xfe\x80", "COMMIT", "\xc3\xa4\xe2\x82\xac",
      "a   "};
  return kTexts.at(static_cast<std::size_t>(Below(static_cast<int>(kTexts.size()))));
}

void StutterCaller::Run() {
  while (Clock::now() < m_options.end) {
    if (!OpenSession()) {
      std::this_thread::sleep_for(kReopenDelay);
      continue;
    }
    // Every third session lasts.
    const int operations = Chance(0.3) ? 1000 : 1 + Below(6);
    for (int i = 0; i < operations && Clock::now() < m_options.end && RunOperation(); ++i) {
    }
  }
}

bool StutterCaller::OpenSession() {
  const auto pick = [this](const auto& list) {
    return list[static_cast<std::size_t>(Below(static_cast<int>(list.size())))];
  };
  m_socket = std::make_unique<LineSocket>(pick(m_options.gateways));
  m_session = m_journal.NextNumber();
  m_values.clear();
  m_prepared.clear();
  if (!m_socket->Send(fmt::format("CONNECT {} caller\r\n", pick(m_options.databases)))) {
    return false;
  }
  const auto ready = m_socket->ReadLine(kAnswerTimeout);
  return ready && ready->rfind("READY I", 0) == 0;
}

bool StutterCaller::RunOperation() {
  const int kind = Below(100);
  if (kind < 40) {
    return RunSingle();
  }
  if (kind < 78) {
    return RunTransaction();
  }
  if (kind < 90) {
    return RunSetting();
  }
  if (kind < 95) {
    return RunPipeline();
  }
  if (kind < 97) {
    LeaveWithStatement();
  } else if (kind < 99) {
    LeaveWithHalfLine();
  } else {
    SendControlCharacters();
  }
  return false;
}

bool StutterCaller::Leave(Outcome outcome) {
  m_journal.OnOperation(outcome == Outcome::kServed);
  return outcome != Outcome::kBroken;
}

bool StutterCaller::RunSingle() {
  const auto answer = Ask(AnyText(true));
  if (!answer.complete || answer.state != 'I') {
    return Leave(Outcome::kBroken);
  }
  return Leave(answer.ok ? Outcome::kServed : Outcome::kRefused);
}

bool StutterCaller::RunTransaction() {
  const auto number = m_journal.NextNumber();
  const bool reads_only = Chance(0.3);
  auto answer = Ask({reads_only ? "BEGIN FETCH" : "BEGIN", ""});
  const int statements = Below(kMaxStatements + 1);
  const auto leaves_after = Chance(0.1) ? Below(statements + 1) : -1;
  std::size_t place = 0;
  for (int i = 0; i < statements && answer.complete && answer.ok; ++i) {
    if (i == leaves_after) {
      return false;
    }
    answer = Ask(AnyText(!reads_only), number, place++);
    if (Chance(0.3)) {
      std::this_thread::sleep_for(Millis(Below(kMaxPauseMillis)));
    }
  }
  if (!answer.complete) {
    return Leave(Outcome::kBroken);
  }
  if (leaves_after >= 0) {
    if (Chance(0.5)) {
      // Leaves while the commit is under way.
      Send({"COMMIT", ""}, number, place);
    }
    return false;
  }
  const bool was_served = answer.ok;
  if (!was_served && answer.state == 'I') {
    return Leave(Outcome::kRefused);
  }
  answer = Ask({was_served && Chance(0.8) ? "COMMIT" : "ROLLBACK", ""}, number, place);
  if (!answer.complete || answer.state != 'I') {
    return Leave(Outcome::kBroken);
  }
  return Leave(was_served && answer.ok ? Outcome::kServed : Outcome::kRefused);
}

bool StutterCaller::RunSetting() {
  const auto name = fmt::format("n{}", Below(kNames));
  if (Chance(0.5)) {
    const auto value = fmt::format("v{}", Below(5));
    if (!Ask({fmt::format("SET {} {}", name, value), ""}).ok) {
      return false;
    }
    m_values[name] = value;
  } else if (m_prepared.count(name) != 0) {
    if (!Ask({"CLOSE " + name, ""}).ok) {
      return false;
    }
    m_prepared.erase(name);
  } else {
    const auto shape = fmt::format("{} q{}", Chance(kWriteShare) ? "PUT" : "FETCH", Below(6));
    if (!Ask({fmt::format("PARSE {} {}", name, shape), ""}).ok) {
      return false;
    }
    m_prepared[name] = shape;
  }
  return RunSingle();
}

bool StutterCaller::RunPipeline() {
  std::string lines;
  std::vector<std::string> ids;
  const int count = 2 + Below(3);
  for (int i = 0; i < count; ++i) {
    SentStatement sent{NextId(), AnyText(true).text, m_session};
    if (sent.text.rfind("EXECUTE", 0) == 0) {
      continue;
    }
    sent.values = m_values;
    lines += fmt::format("QUERY {} {}\r\n", sent.id, sent.text);
    ids.push_back(sent.id);
    m_journal.OnSent(std::move(sent));
  }
  m_socket->Send(lines);
  for (const auto& id : ids) {
    const auto answer = Receive(id);
    if (!answer.complete || answer.state != 'I') {
      return Leave(Outcome::kBroken);
    }
    Leave(answer.ok ? Outcome::kServed : Outcome::kRefused);
  }
  return true;
}

void StutterCaller::LeaveWithStatement() {
  Send(AnyText(true), 0, 0);
  std::this_thread::sleep_for(Millis(Below(3)));
}

void StutterCaller::LeaveWithHalfLine() {
  const auto line = fmt::format("QUERY {} PUT {} data", NextId(), Item());
  m_socket->Send(line.substr(0, line.size() - static_cast<std::size_t>(Below(8))));
  std::this_thread::sleep_for(Millis(Below(kMaxPauseMillis)));
}

void StutterCaller::SendControlCharacters() {
  const auto second = fmt::format("QUERY {} PUT {} smuggled", NextId(), Item());
  const std::array<std::string, 6> kTexts = {"PUT " + Item() + " a\nb",
                                             "PUT " + Item() + " a\n" + second,
                                             "PUT " + Item() + " a\rb",
                                             "PUT " + Item() + " a\r" + second,
                                             "PUT " + Item() + " a" + std::string("\0b", 2),
                                             "PUT " + Item() + " a\tb"};
  Ask({kTexts.at(static_cast<std::size_t>(Below(static_cast<int>(kTexts.size())))), ""});
}

std::string StutterCaller::Send(const Text& text, std::uint64_t transaction, std::size_t place) {
  SentStatement sent{NextId(), text.text, m_session, transaction, place};
  sent.values = m_values;
  sent.shape = text.shape;
  const auto id = sent.id;
  m_journal.OnSent(std::move(sent));
  m_socket->Send(fmt::format("QUERY {} {}\r\n", id, text.text));
  return id;
}

CallerAnswer StutterCaller::Receive(const std::string& id) {
  CallerAnswer answer;
  while (const auto line = m_socket->ReadLine(kAnswerTimeout)) {
    if (line->rfind("DATAROW ", 0) == 0) {
      answer.rows.push_back(line->substr(8));
    } else if (line->rfind("COMPLETE ", 0) == 0) {
      answer.ok = true;
      answer.mac = line->substr(9);
    } else if (line->rfind("ERROR ", 0) == 0) {
      answer.error_code = line->substr(6, line->find(' ', 6) - 6);
    } else if (line->rfind("READY ", 0) == 0) {
      answer.complete = true;
      answer.state = line->at(6);
      break;
    }
  }
  m_journal.OnAnswered(id, answer);
  return answer;
}

CallerAnswer StutterCaller::Ask(const Text& text, std::uint64_t transaction, std::size_t place) {
  return Receive(Send(text, transaction, place));
}

}  // namespace cardamom::stutter
