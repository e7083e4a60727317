// Records the outcome of statements in metrics and events, and builds the replies to those that did
// not succeed.
#pragma once

#include <optional>
#include <string>

#include "gateway/group_client.h"
#include "gateway/statement_task.h"

namespace cardamom {

// Not thread safe: all use is on the thread of `context`, which must outlive the object.
class StatementOutcome {
 public:
  explicit StatementOutcome(GatewayContext& context) : m_context(context) {}

  // The reply to a statement of which nothing took effect: kBusy with a retry hint.
  Reply MakeRefusal(const GroupClient& group, const StatementTask& task, const std::string& reason);
  // The reply to a statement that may have taken effect: kInDoubt.
  Reply MakeUnknownReply(const GroupClient& group,
                         const StatementTask& task,
                         const std::string& reason);
  void LogAnswer(const GroupClient& group,
                 const StatementTask& task,
                 const Endpoint& endpoint,
                 std::optional<Position> after,
                 const Reply& reply);

 private:
  GatewayContext& m_context;
};

}  // namespace cardamom
