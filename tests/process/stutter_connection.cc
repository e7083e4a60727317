#include "stutter_connection.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace cardamom::stutter {
namespace {

constexpr Millis kIdleTimeout{60'000};
// Statements take up to this long.
constexpr int kMaxRunMicros = 1500;
constexpr int kMaxRows = 3;

std::string_view TakeField(std::string_view& text) {
  const auto blank = text.find(' ');
  const auto field = text.substr(0, blank);
  text = blank == std::string_view::npos ? std::string_view() : text.substr(blank + 1);
  return field;
}

// Rows may hold anything but the end of a line.
constexpr std::array<std::string_view, 8> kRowTexts = {
    "row", "two  blanks ", "a\nb", "a\nCOMPLETE 1\nREADY I 1.1", "a\rb\r", "\xff\xfe", "\ttab", ""};

std::string FormatPosition(const Commit& commit) {
  return fmt::format("{}.{}", commit.term, commit.index);
}

}  // namespace

Connection::Connection(Server& server, std::shared_ptr<LineSocket> socket, std::uint64_t seed)
    : m_server(server),
      m_group(server.group()),
      m_socket(std::move(socket)),
      m_random(seed),
      m_number(m_group.journal().NextNumber()) {}

bool Connection::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

int Connection::Below(int bound) {
  return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
}

void Connection::Run() {
  if (!Greet()) {
    return;
  }
  while (!m_socket->closed()) {
    auto wait = kIdleTimeout;
    for (const auto& repeat : m_repeats) {
      wait = std::min(wait, std::max(ToMillis(repeat.time - Clock::now()), Millis(0)) + Millis(1));
    }
    const auto line = m_socket->ReadLine(wait);
    if (!SendRepeats() || (line && !Answer(*line))) {
      return;
    }
  }
}

bool Connection::Greet() {
  const auto line = m_socket->ReadLine(kIdleTimeout);
  if (!line) {
    return false;
  }
  std::istringstream fields(*line);
  std::string word;
  std::string service;
  std::string who;
  std::string id;
  fields >> word >> service >> who >> id;
  if (word != "CONNECT" || service != m_group.name() || (!id.empty() && id != m_server.id())) {
    m_socket->Send("ERROR MOVED -\r\n");
    return false;
  }
  if (m_server.connections() > m_group.max_connections()) {
    m_socket->Send("ERROR CONNLIMIT -\r\n");
    return false;
  }
  return SendAnswer(Ready(), m_group.faults().own_repeats);
}

bool Connection::Answer(const std::string& line) {
  std::string_view rest = line;
  const auto word = TakeField(rest);
  if (word != "QUERY") {
    return false;
  }
  const std::string id(TakeField(rest));
  std::this_thread::sleep_for(std::chrono::microseconds(Below(kMaxRunMicros)));
  const auto result = RunQuery(id, rest);
  std::string text;
  if (result.error.empty()) {
    for (const auto& row : result.rows) {
      text += "DATAROW " + row + "\r\n";
    }
    text += "COMPLETE " + result.mac + "\r\n";
  } else {
    text = "ERROR " + result.error + " -\r\n";
  }
  const auto& faults = m_group.faults();
  return SendAnswer(text + Ready(), id == "-" ? faults.own_repeats : faults.repeats);
}

bool Connection::SendAnswer(const std::string& text, double repeat_share) {
  if (!SendRepeats() || !m_socket->Send(text)) {
    return false;
  }
  if (Chance(repeat_share)) {
    const auto delay = Below(static_cast<int>(m_group.faults().repeat_delay.count()) + 1);
    m_repeats.push_back({Clock::now() + Millis(delay), text});
  }
  return true;
}

bool Connection::SendRepeats() {
  const auto now = Clock::now();
  for (auto repeat = m_repeats.begin(); repeat != m_repeats.end();) {
    if (repeat->time > now) {
      ++repeat;
      continue;
    }
    if (!m_socket->Send(repeat->text)) {
      return false;
    }
    repeat = m_repeats.erase(repeat);
  }
  return true;
}

std::string Connection::Ready() {
  const bool is_primary = m_group.IsPrimary(m_server.id());
  const auto position = is_primary ? m_group.Newest() : m_group.Applied();
  return fmt::format("READY {} {}\r\n", m_state, FormatPosition(position));
}

Connection::Result Connection::Fail(const std::string& code) {
  if (m_state == 'T') {
    m_state = 'E';
  }
  return {code};
}

void Connection::Reset() {
  m_state = 'I';
  m_transaction = 0;
  m_writes.clear();
}

bool Connection::Lacks(std::string_view position) {
  const auto dot = position.find('.');
  const auto applied = m_group.IsPrimary(m_server.id()) ? m_group.Newest() : m_group.Applied();
  const auto term = std::stoull(std::string(position.substr(0, dot)));
  const auto index = std::stoull(std::string(position.substr(dot + 1)));
  return std::pair(term, index) >
         std::pair<unsigned long long, unsigned long long>(applied.term, applied.index);
}

std::string Connection::NextMac() {
  return fmt::format("{}.{:x}.{:x}.{:016x}", m_server.id(), m_number, ++m_runs, m_random());
}

Connection::Result Connection::RunQuery(const std::string& id, std::string_view text) {
  auto rest = text;
  auto word = TakeField(rest);
  const bool has_position = word == "AFTER";
  std::string_view position;
  if (has_position) {
    position = TakeField(rest);
    text = rest;
    word = TakeField(rest);
  }
  const bool is_access = word == "FETCH" || word == "PUT" || word == "EXECUTE";
  if (id == "-" && !is_access && word != "COMMIT") {
    RanStatement ran{id, std::string(text)};
    ran.server = m_server.id();
    m_group.journal().OnRan(std::move(ran));
  }
  if (m_state == 'E' && word != "ROLLBACK" && word != "COMMIT" && word != "STATUS") {
    return {"MALFORMED"};
  }
  if (has_position && Lacks(position)) {
    return Fail("LAGGING");
  }
  if (word == "COMMIT") {
    return RunCommit(id);
  }
  if (word == "BEGIN") {
    return Chance(m_group.faults().own_busy) ? Fail("BUSY") : Begin(rest == "FETCH");
  }
  if (!is_access) {
    return RunOwn(word, rest);
  }
  std::string shape;
  bool writes = word == "PUT";
  if (word == "EXECUTE") {
    const auto prepared = m_prepared.find(TakeField(rest));
    if (prepared == m_prepared.end()) {
      return Fail("NOSTMT");
    }
    shape = prepared->second;
    writes = shape.rfind("PUT", 0) == 0;
  }
  return RunAccess(id, std::string(text), writes, m_values, shape);
}

Connection::Result Connection::RunOwn(std::string_view word, std::string_view rest) {
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
    if (word == "STATUS" && Chance(m_group.faults().own_busy)) {
      return {"BUSY"};
    }
    const auto term = word == "PAUSE" || word == "STEPDOWN" ? std::stoull(std::string(rest)) : 0;
    if (word == "PAUSE" || word == "RESUME") {
      m_server.paused_at = term;
    } else if (word == "STEPDOWN") {
      m_group.StepDown(m_server.id(), term);
    }
    return Status();
  }
  if (Chance(m_group.faults().own_busy)) {
    return Fail("BUSY");
  }
  if (word == "ROLLBACK") {
    Reset();
  } else if (word == "DISCARD") {
    m_values.clear();
    m_prepared.clear();
  } else if (word == "SET") {
    const std::string name(TakeField(rest));
    m_values[name] = std::string(rest);
  } else if (word == "PARSE") {
    const std::string name(TakeField(rest));
    m_prepared[name] = std::string(rest);
  } else if (word == "CLOSE") {
    m_prepared.erase(std::string(rest));
  } else {
    return Fail("MALFORMED");
  }
  return {};
}

Connection::Result Connection::Begin(bool read_only) {
  if (m_state != 'I') {
    return {"MALFORMED"};
  }
  if (!m_group.IsPrimary(m_server.id()) && !read_only) {
    return {"READONLY"};
  }
  m_state = 'T';
  m_transaction = m_group.journal().NextNumber();
  m_transaction_term = m_group.term();
  m_read_only = read_only;
  return {};
}

Connection::Result Connection::Status() {
  const bool is_primary = m_group.IsPrimary(m_server.id());
  Result result;
  result.rows.push_back(fmt::format("{} {} {} {} 0 0 {}", is_primary ? "primary" : "replica",
                                    m_group.term(), FormatPosition(m_group.Newest()),
                                    m_server.paused_at.load(), m_server.connections()));
  return result;
}

Connection::Result Connection::RunAccess(const std::string& id,
                                         const std::string& text,
                                         bool writes,
                                         Values values,
                                         const std::string& shape) {
  if (Chance(m_group.faults().busy)) {
    return Fail("BUSY");
  }
  const bool in_lead = m_transaction != 0 && !m_read_only
                           ? m_group.IsPrimaryOf(m_server.id(), m_transaction_term)
                           : m_group.IsPrimary(m_server.id());
  if ((writes && (!in_lead || m_read_only)) || (m_transaction != 0 && !m_read_only && !in_lead)) {
    return Fail("READONLY");
  }
  RanStatement ran{id, text, m_group.name(), m_server.id(), m_number, m_transaction};
  ran.values = std::move(values);
  ran.shape = shape;
  ran.mac = NextMac();
  if (!writes) {
    const int rows = Below(kMaxRows + 1);
    for (int i = 0; i < rows; ++i) {
      const auto text = kRowTexts.at(static_cast<std::size_t>(Below(kRowTexts.size())));
      ran.rows.push_back(fmt::format("{}-{} {}", ran.mac, i, text));
    }
  } else if (m_transaction != 0) {
    m_writes.push_back(id);
  } else {
    ran.commits = true;
    ran.committed.push_back(id);
    m_group.Append();
  }
  Result result{"", ran.mac, ran.rows};
  m_group.journal().OnRan(std::move(ran));
  return result;
}

Connection::Result Connection::RunCommit(const std::string& id) {
  if (m_state == 'I') {
    return {"MALFORMED"};
  }
  if (m_state == 'E') {
    Reset();
    return {"ABORTED"};
  }
  if (Chance(m_group.faults().busy)) {
    // The transaction is still open, or it has failed.
    m_state = Chance(0.5) ? 'T' : 'E';
    return {"BUSY"};
  }
  if (!m_read_only && !m_writes.empty() &&
      !m_group.IsPrimaryOf(m_server.id(), m_transaction_term)) {
    return Fail("READONLY");
  }
  RanStatement ran{id, "COMMIT", m_group.name(), m_server.id(), m_number, m_transaction};
  ran.values = m_values;
  ran.mac = NextMac();
  ran.commits = true;
  ran.committed = m_writes;
  if (!m_writes.empty()) {
    m_group.Append();
  }
  Result result{"", ran.mac};
  m_group.journal().OnRan(std::move(ran));
  Reset();
  return result;
}

}  // namespace cardamom::stutter
