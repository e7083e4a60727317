// Admits statements by the callers' keys, and reports those that it refuses.
#pragma once

#include <optional>

#include "gateway/directory.h"
#include "gateway/gateway_context.h"
#include "organisation/refusal_reports.h"

namespace cardamom {

// A value type.
struct KeyAdmission {
  // Set if the statement must not be passed on.
  std::optional<ReplyError> refusal;
  // The organisation on whose behalf the statement runs; empty on public routes.
  OrganisationName organisation;
};

// Keys appear in none of its texts, events and metrics. Not thread safe: all use is on the thread
// of the context.
class KeyGate {
 public:
  // The references must outlive the object.
  KeyGate(GatewayContext& context, const Directory& directory)
      : m_context(context), m_directory(directory) {}

  // Decides on the opening of a session. Errors: kDenied, and kBusy if the key is unknown but the
  // configuration is too old to be certain.
  std::optional<ReplyError> RefuseSession(const Route& route, const ApiKey& key);
  // Decides on a statement outside a transaction that was received at `received_at`. Errors:
  // kDenied, and kBusy if the configuration is too old to tell.
  KeyAdmission Admit(const Route& route, const ApiKey& key, BootTime received_at);
  // Decides on a statement of a transaction that began for `organisation`. Errors: kDenied, and
  // kAborted if the configuration is too old to tell or the key belongs to another organisation;
  // the transaction must be rolled back.
  KeyAdmission AdmitInTransaction(const Route& route,
                                  const ApiKey& key,
                                  BootTime received_at,
                                  const OrganisationName& organisation);

 private:
  // The error for a verdict other than kAdmitted. `too_old`: the code if the configuration is too
  // old. `unknown_key`: the reason to count if the key is unknown.
  ReplyError Refuse(KeyResult result,
                    const Route& route,
                    StatementError too_old,
                    const char* unknown_key);
  ReplyError RefuseTooOld(const Route& route, StatementError code);
  void ReportDenied(const Route& route, const char* reason);

  GatewayContext& m_context;
  const Directory& m_directory;
  RefusalReports m_denied_reports;
  RefusalReports m_too_old_reports;
  int m_too_old_count = 0;
};

}  // namespace cardamom
