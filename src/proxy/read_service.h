// Serves reads at a replica that satisfies the session and the maximum age, or at the primary.
#pragma once

#include <memory>
#include <optional>

#include "cardamom/session_token.h"
#include "proxy/group.h"
#include "routing/read_router.h"

namespace cardamom {

struct ReadCommand {
  SqlStatement statement;
  SessionToken::Requirement session_requirement;
  // Greatest age of the data that the caller accepts; max_read_age_ms of the record if absent.
  std::optional<Millis> max_age;
};

struct ReadResult {
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
  asio::awaitable<Outcome<ReadResult>> Read(std::shared_ptr<Group> group,
                                            ReadCommand command,
                                            TimePoint deadline);

 private:
  // The position that a serving endpoint must have applied, and the endpoints to try, best first.
  struct Plan {
    Position required_position;
    std::vector<ReadChoice> choices;
  };

  asio::awaitable<Plan> MakePlan(Group& group,
                                 const ReadCommand& command,
                                 Millis max_age,
                                 TimePoint deadline);
  asio::awaitable<Outcome<ReadResult>> TryEndpoint(Group& group,
                                                   const ReadCommand& command,
                                                   const ReadChoice& choice,
                                                   Position required_position,
                                                   Millis max_age,
                                                   TimePoint deadline);
  // Waits until everything that the read saw is committed, so that a failover cannot roll it back,
  // and until the primary is confirmed to have been the primary at `primary_confirmed_since` or
  // later, which bounds the age of the data; TimePoint::min() skips the second wait. Returns
  // whether both held in time.
  asio::awaitable<bool> WaitUntilConfirmed(Group& group,
                                           const ReadResult& result,
                                           TimePoint primary_confirmed_since,
                                           TimePoint deadline);

  ProxyContext& m_context;
};

}  // namespace cardamom
