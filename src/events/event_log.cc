#include "events/event_log.h"

#include <unistd.h>

#include <memory>
#include <utility>

#include <fmt/format.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "core/clock.h"
#include "events/bounded_appender.h"

namespace cardamom {
namespace {

LogFormat g_log_format = LogFormat::kText;

log4cplus::LogLevel ParseLogLevel(std::string_view name) {
  if (name == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (name == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (name == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string ToText(const Event& event) {
  auto line = fmt::format("{} {} vm={}", event.code, event.name, event.vm);
  const auto add = [&line](std::string_view name, const std::string& value) {
    if (!value.empty()) {
      line += fmt::format(" {}={}", name, value);
    }
  };
  const auto& subject = event.subject;
  add("group", subject.group.value());
  add("endpoint", subject.endpoint.value());
  add("term", subject.term.value() == 0 ? "" : std::to_string(subject.term.value()));
  add("index", subject.index.value() == 0 ? "" : std::to_string(subject.index.value()));
  add("request", subject.request);
  add("detail", subject.detail);
  return line;
}

// Owned by the root logger.
BoundedAppender* g_bounded_appender = nullptr;

void ConfigureRootLogger(LogFormat format,
                         const std::string& level,
                         log4cplus::SharedAppenderPtr appender) {
  g_log_format = format;
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      format == LogFormat::kJson ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ParseLogLevel(level));
}

}  // namespace

EventLog::EventLog(VmId vm, std::size_t capacity) : m_vm(std::move(vm)), m_capacity(capacity) {}

void EventLog::ConfigureLogging(LogFormat format, const std::string& level) {
  ConfigureRootLogger(format, level,
                      log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)));
}

void EventLog::ConfigureBoundedLogging(LogFormat format,
                                       const std::string& level,
                                       std::size_t max_queue_bytes) {
  g_bounded_appender = new BoundedAppender(STDOUT_FILENO, max_queue_bytes);
  ConfigureRootLogger(format, level, log4cplus::SharedAppenderPtr(g_bounded_appender));
}

void EventLog::SetLevel(const std::string& level) {
  log4cplus::Logger::getRoot().setLogLevel(ParseLogLevel(level));
}

void EventLog::FlushLog() {
  if (g_bounded_appender != nullptr) {
    g_bounded_appender->Flush();
  }
}

void EventLog::AdvanceClock() {
  const auto wall = WallMillis();
  if (wall > m_time_ms) {
    m_time_ms = wall;
    m_logical = 0;
  } else {
    ++m_logical;
  }
}

void EventLog::Emit(EventCode code, const EventSubject& subject) {
  const auto& info = InfoOf(code);
  Event event{static_cast<int>(code), std::string(info.name), 0, 0, m_vm.value(), subject};
  {
    const std::lock_guard lock(m_mutex);
    AdvanceClock();
    event.time_ms = m_time_ms;
    event.logical = m_logical;
    m_ring.push_back(event);
    if (m_ring.size() > m_capacity) {
      m_ring.pop_front();
    }
  }
  auto logger = log4cplus::Logger::getRoot();
  const auto level = ParseLogLevel(info.level);
  if (logger.isEnabledFor(level)) {
    logger.forcedLog(level, g_log_format == LogFormat::kJson ? EncodeJson(event) : ToText(event));
  }
}

void EventLog::ObserveTime(std::int64_t time_ms) {
  const std::lock_guard lock(m_mutex);
  if (time_ms > m_time_ms) {
    m_time_ms = time_ms;
    m_logical = 0;
  }
}

std::int64_t EventLog::Now() {
  const std::lock_guard lock(m_mutex);
  AdvanceClock();
  return m_time_ms;
}

std::vector<Event> EventLog::Snapshot() const {
  const std::lock_guard lock(m_mutex);
  return {m_ring.begin(), m_ring.end()};
}

}  // namespace cardamom
