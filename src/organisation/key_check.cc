#include "organisation/key_check.h"

#include <algorithm>

namespace cardamom {
namespace {

// Part of the bound that is reserved for callers whose clock is inexact; less if the bound is
// short.
constexpr Millis kMargin{250};
constexpr int kLeastMarginDivisor = 4;

}  // namespace

bool IsRecentEnough(Millis revoke, std::optional<BootTime> confirmed_at, BootTime received_at) {
  if (revoke <= Millis(0)) {
    return true;
  }
  const auto margin = std::min(kMargin, revoke / kLeastMarginDivisor);
  return confirmed_at && received_at - *confirmed_at < revoke - margin;
}

KeyVerdict CheckKey(const Configuration& configuration,
                    const Route& route,
                    const ApiKey& key,
                    bool is_recent) {
  if (route.is_public) {
    return {};
  }
  if (!is_recent) {
    return {KeyResult::kConfigurationTooOld, {}};
  }
  const auto holder = configuration.organisation_of_key.find(key);
  if (key.value().empty() || holder == configuration.organisation_of_key.end()) {
    return {KeyResult::kUnknownKey, {}};
  }
  return {KeyResult::kAdmitted, holder->second};
}

KeyVerdict CheckKeyInTransaction(const Configuration& configuration,
                                 const Route& route,
                                 const ApiKey& key,
                                 bool is_recent,
                                 const OrganisationName& organisation) {
  auto verdict = CheckKey(configuration, route, key, is_recent);
  if (verdict.result == KeyResult::kAdmitted && verdict.organisation != organisation) {
    return {KeyResult::kMovedKey, {}};
  }
  return verdict;
}

}  // namespace cardamom
