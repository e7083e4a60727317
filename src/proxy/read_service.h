// Serves reads at a replica that satisfies the session and the maximum age, or at the primary.
#pragma once

#include <memory>
#include <optional>

#include "cardamom/session_token.h"
#include "proxy/group.h"
#include "routing/read_router.h"

namespace cardamom {

struct ReadCommand {
  Statement statement;
  SessionToken::Need session;
  // Greatest age of the data that the caller accepts; max_read_age_ms of the record if absent.
  std::optional<Millis> max_age;
};

struct ReadReceipt {
  StatementResult result;
  Position position;
  EndpointId endpoint;
  bool from_replica = false;
};

// Thread safe; holds no state of its own. Precondition: calling coroutines run on a strand.
class ReadService {
 public:
  explicit ReadService(ProxyContext& context) : m_context(context) {}

  // Attempts the read at one endpoint after the other, until one serves it, all are overloaded or
  // the deadline passes. Errors: kNoFreshServer, kOverloaded, kStatementFailed.
  asio::awaitable<Outcome<ReadReceipt>> Read(std::shared_ptr<Group> group,
                                             ReadCommand command,
                                             TimePoint deadline);

 private:
  // The position that a serving endpoint must have applied, and the endpoints to try, best first.
  struct Plan {
    Position need;
    std::vector<ReadChoice> choices;
  };

  asio::awaitable<Plan> MakePlan(Group& group,
                                 const ReadCommand& command,
                                 Millis age,
                                 TimePoint deadline);
  asio::awaitable<Outcome<ReadReceipt>> Try(Group& group,
                                            const ReadCommand& command,
                                            const ReadChoice& choice,
                                            Position need,
                                            Millis age,
                                            TimePoint deadline);
  // Waits until everything that the read saw is committed, so that a failover cannot roll it back,
  // and until the primary is confirmed to have been the primary at `fresh_since` or later, which
  // bounds the age of the data; TimePoint::min() skips the second wait. Returns whether both held
  // in time.
  asio::awaitable<bool> Release(Group& group,
                                const ReadReceipt& receipt,
                                TimePoint fresh_since,
                                TimePoint deadline);

  ProxyContext& m_context;
};

}  // namespace cardamom
