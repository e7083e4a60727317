// Serves writes: each takes effect at most once and is acknowledged only when a majority of the
// voters holds it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "proxy/group.h"

namespace cardamom {

// A write and its idempotency key.
struct WriteCommand {
  SqlStatement statement;
  IdempotencyKey key;
};

struct WriteResult {
  StatementResult result;
  Position position;
  // The key had been used before; `result` is the stored result.
  bool replayed = false;
};

// Fingerprint that is stored with a key to abort a commit: a commit whose key is in use cannot take
// effect.
inline constexpr std::string_view kAbortFingerprint = "aborted";

// Hash of a statement; a key can be used again only with the same fingerprint. Thread safe.
std::string FingerprintOf(const SqlStatement& statement);

// Thread safe; holds no state of its own. Precondition: calling coroutines run on a strand.
class WriteService {
 public:
  explicit WriteService(ProxyContext& context) : m_context(context) {}

  // Runs `command` at most once, with retries until the deadline. Errors: kNoPrimary, kOverloaded,
  // kReplicationStalled, kStatementFailed, kKeyConflict or the error of the last attempt, and
  // kOutcomeUnknown if it was sent and may have taken effect.
  asio::awaitable<Outcome<WriteResult>> Write(std::shared_ptr<Group> group,
                                              WriteCommand command,
                                              TimePoint deadline);

  // Determines the outcome of a commit whose answer was lost, and ensures that a commit that has
  // not taken effect never does. Errors: kTransactionAborted if it did not, kOutcomeUnknown.
  asio::awaitable<Outcome<WriteResult>> ResolveCommit(std::shared_ptr<Group> group,
                                                      IdempotencyKey key,
                                                      TimePoint deadline);

  // The stored outcome of `key`, once it is committed; `found` is false if the key is not stored.
  // Errors: kNoPrimary, kOutcomeUnknown if it is not committed in time, and those of
  // EndpointClient::LookUpKey.
  asio::awaitable<Outcome<KeyAnswer>> LookUpOutcome(std::shared_ptr<Group> group,
                                                    IdempotencyKey key,
                                                    TimePoint deadline);

 private:
  // State of one write across its attempts.
  struct Progress {
    bool may_have_run = false;
    // Least term of the primary for the next attempt.
    Term min_term;
    int attempts = 0;
  };

  asio::awaitable<Outcome<WriteResult>> Attempt(Group& group,
                                                const WriteRequest& request,
                                                Progress& progress,
                                                TimePoint deadline);
  // Sends the request; returns kNotPrimary early when a greater term is observed.
  asio::awaitable<Outcome<WriteAnswer>> SendUntilTermChanges(Group& group,
                                                             const Group::Primary& primary,
                                                             WriteRequest request,
                                                             TimePoint deadline);
  asio::awaitable<Outcome<WriteResult>> RunWithRetries(Group& group,
                                                       WriteRequest request,
                                                       TimePoint deadline);

  ProxyContext& m_context;
};

}  // namespace cardamom
