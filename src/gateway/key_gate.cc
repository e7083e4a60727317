#include "gateway/key_gate.h"

#include <fmt/format.h>

namespace cardamom {
namespace {

// Retry delays that are suggested to callers while the configuration is too old: the first one and
// steps beyond it, so that callers do not retry all at once.
constexpr int kRetryHintMs = 500;
constexpr int kRetryHintStepMs = 50;
constexpr int kRetryHintSteps = 20;

constexpr const char* kUnknownKey = "unknown_key";
constexpr const char* kWithdrawnKey = "withdrawn_key";
constexpr const char* kMovedKey = "moved_key";

}  // namespace

std::optional<ReplyError> KeyGate::RefuseSession(const Route& route, const ApiKey& key) {
  const auto& configuration = m_directory.configuration();
  auto verdict = CheckKey(configuration, route, key, true);
  if (verdict.result == KeyResult::kUnknownKey && !m_directory.IsRecentFor(BootClock::now())) {
    verdict.result = KeyResult::kConfigurationTooOld;
  }
  if (verdict.result == KeyResult::kAdmitted) {
    return std::nullopt;
  }
  return Refuse(verdict.result, route, StatementError::kBusy, kUnknownKey);
}

KeyAdmission KeyGate::Admit(const Route& route, const ApiKey& key, BootTime received_at) {
  auto verdict =
      CheckKey(m_directory.configuration(), route, key, m_directory.IsRecentFor(received_at));
  if (verdict.result == KeyResult::kAdmitted) {
    return {std::nullopt, std::move(verdict.organisation)};
  }
  return {Refuse(verdict.result, route, StatementError::kBusy, kWithdrawnKey), {}};
}

KeyAdmission KeyGate::AdmitInTransaction(const Route& route,
                                         const ApiKey& key,
                                         BootTime received_at,
                                         const OrganisationName& organisation) {
  auto verdict = CheckKeyInTransaction(m_directory.configuration(), route, key,
                                       m_directory.IsRecentFor(received_at), organisation);
  if (verdict.result == KeyResult::kAdmitted) {
    return {std::nullopt, std::move(verdict.organisation)};
  }
  return {Refuse(verdict.result, route, StatementError::kAborted, kWithdrawnKey), {}};
}

ReplyError KeyGate::Refuse(KeyResult result,
                           const Route& route,
                           StatementError too_old,
                           const char* unknown_key) {
  if (result == KeyResult::kConfigurationTooOld) {
    return RefuseTooOld(route, too_old);
  }
  if (result == KeyResult::kMovedKey) {
    ReportDenied(route, kMovedKey);
    return {StatementError::kAborted, "the key belongs to another organisation now"};
  }
  ReportDenied(route, unknown_key);
  return {StatementError::kDenied, "the key is not valid"};
}

ReplyError KeyGate::RefuseTooOld(const Route& route, StatementError code) {
  m_context.metrics.CountConfigurationTooOld();
  if (const auto count = m_too_old_reports.Record(Clock::now())) {
    const auto confirmed_at = m_directory.confirmed_at();
    const auto age =
        confirmed_at
            ? fmt::format(
                  "current {} ms ago",
                  std::chrono::duration_cast<Millis>(BootClock::now() - *confirmed_at).count())
            : std::string("not known to be current");
    m_context.events.Emit(
        EventCode::kConfigurationTooOld,
        {.group = route.group,
         .detail = fmt::format("version {}, {}; {} refused", m_directory.configuration().version,
                               age, *count)});
  }
  const auto hint = kRetryHintMs + kRetryHintStepMs * m_too_old_count;
  m_too_old_count = (m_too_old_count + 1) % kRetryHintSteps;
  return {code, fmt::format("the configuration is too old; retry after {} ms", hint)};
}

void KeyGate::ReportDenied(const Route& route, const char* reason) {
  m_context.metrics.CountCallerDenied(reason);
  if (const auto count = m_denied_reports.Record(Clock::now())) {
    m_context.events.Emit(EventCode::kCallerDenied,
                          {.group = route.group,
                           .detail = fmt::format("{} for database {}, version {}; {} refused",
                                                 reason, route.database.value(),
                                                 m_directory.configuration().version, *count)});
  }
}

}  // namespace cardamom
