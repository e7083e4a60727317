// Reads: at a replica that satisfies the session and the stated age, or at the primary.
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
  // Greatest age that the caller states.
  std::optional<Millis> max_age;
};

struct ReadReceipt {
  StatementResult result;
  Position position;
  EndpointId endpoint;
  bool from_replica = false;
};

// Thread safe; holds no state of its own.
class ReadService {
 public:
  explicit ReadService(ProxyContext& context) : m_context(context) {}

  // Errors: kNoFreshServer, kOverloaded, kStatementFailed.
  asio::awaitable<Outcome<ReadReceipt>> Read(std::shared_ptr<Group> group,
                                             ReadCommand command,
                                             TimePoint deadline);

 private:
  // What the endpoints have to satisfy, and the order in which to try them.
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
  // Waits until nothing that the read saw can be taken back, and its age is certain.
  asio::awaitable<bool> Release(Group& group,
                                const ReadReceipt& receipt,
                                TimePoint fresh_since,
                                TimePoint deadline);

  ProxyContext& m_context;
};

}  // namespace cardamom
