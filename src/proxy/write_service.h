// Writes: at most once, and acknowledged only when a majority holds them.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "proxy/group.h"

namespace cardamom {

// A keyed write, or the resolution of one.
struct WriteCommand {
  Statement statement;
  IdempotencyKey key;
};

struct WriteReceipt {
  StatementResult result;
  Position position;
  bool replayed = false;
};

// Fingerprint of a key that was used up so that a commit cannot take effect any more.
inline constexpr std::string_view kAbortFingerprint = "aborted";

// Hash of a statement; a key may only be used again with the same one. Thread safe.
std::string FingerprintOf(const Statement& statement);

// Thread safe; holds no state of its own.
class WriteService {
 public:
  explicit WriteService(ProxyContext& context) : m_context(context) {}

  // Runs `command` at most once. Errors: kNoPrimary, kOverloaded, kReplicationStalled,
  // kStatementFailed, kKeyConflict, and kOutcomeUnknown when the deadline passes after it was sent.
  asio::awaitable<Outcome<WriteReceipt>> Write(std::shared_ptr<Group> group,
                                               WriteCommand command,
                                               TimePoint deadline);

  // Learns what became of the commit of a transaction whose answer was lost, and makes sure that it
  // does not take effect later. Errors: kTransactionAborted, kOutcomeUnknown.
  asio::awaitable<Outcome<WriteReceipt>> ResolveCommit(std::shared_ptr<Group> group,
                                                       IdempotencyKey key,
                                                       TimePoint deadline);

  // The stored outcome of `key`. Errors: kNoPrimary, kTransport. `found` is false if it has none
  // yet.
  asio::awaitable<Outcome<KeyAnswer>> Lookup(std::shared_ptr<Group> group,
                                             IdempotencyKey key,
                                             TimePoint deadline);

 private:
  // State of one write over its attempts.
  struct Progress {
    bool may_have_run = false;
    Term least;
    int attempts = 0;
  };

  asio::awaitable<Outcome<WriteReceipt>> Attempt(Group& group,
                                                 const WriteRequest& request,
                                                 Progress& progress,
                                                 TimePoint deadline);
  // Sends the request; gives up early when a greater term is learned.
  asio::awaitable<Outcome<WriteAnswer>> SendUntilTermChanges(Group& group,
                                                             const Group::Primary& primary,
                                                             WriteRequest request,
                                                             TimePoint deadline);
  asio::awaitable<Outcome<WriteReceipt>> Run(Group& group,
                                             WriteRequest request,
                                             TimePoint deadline);

  ProxyContext& m_context;
};

}  // namespace cardamom
