// Decides whether a reply received on a link answers the request that waits for one. Servers may
// send a reply twice, the second copy late, and replies do not name their request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "statement/endpoint_link.h"

namespace cardamom {

enum class ReplyMatch {
  // The reply answers the request.
  kMatches,
  // The reply is the copy of an earlier one. The request is still unanswered.
  kRepeated,
  // The reply is a refusal, or a status, that may also be the copy of an earlier one. Whether the
  // link is still in step has to be confirmed before it is used again.
  kAmbiguous,
  // The reply answers neither this request nor an earlier one. The link must be closed.
  kImpossible,
};

// The replies of one link. Rests on three properties of servers: every forwarded statement that
// succeeds gets a signature of its own; requests of the proxy succeed with the signature "-"; and
// the state in a reply is the one that its request leaves. Pure; not thread safe.
class ReplyMatcher {
 public:
  ReplyMatcher();

  // Classifies a reply that was read while `request` waited for one, and records it if it is
  // kMatches or kAmbiguous. Requests must be passed in the order in which they were sent, each
  // until its reply has been found.
  ReplyMatch Match(const EndpointRequest& request, const Reply& reply);

  // Whether a reply that arrived while no request waited for one is harmless: a copy, or a success
  // that a copy stood in for. If not, the link must be closed.
  bool IsHarmlessSurplus(const Reply& reply) const;

  // Whether the reply to a BEGIN cannot be told from the copy of an earlier reply.
  bool MayRepeatBegin() const { return HasOwnState(SessionState::kInTransaction); }

  // The session's state after the replies recorded so far.
  SessionState state() const { return m_state; }

 private:
  // A bounded set of hashes that forgets the oldest.
  class RecentHashes {
   public:
    explicit RecentHashes(std::size_t capacity) : m_capacity(capacity) {}
    bool Contains(std::uint64_t hash) const;
    void Add(std::uint64_t hash);
    bool empty() const { return m_hashes.empty(); }

   private:
    const std::size_t m_capacity;
    std::size_t m_next = 0;
    std::vector<std::uint64_t> m_hashes;
  };

  ReplyMatch MatchForwarded(const EndpointRequest& request, const Reply& reply);
  ReplyMatch MatchOwn(const EndpointRequest& request, const Reply& reply);
  ReplyMatch MatchError(const EndpointRequest& request, const Reply& reply);
  ReplyMatch MatchStatus(const Reply& reply);
  // Whether a success with the signature "-" may be the copy of one that was recorded.
  bool MayRepeatOwn(const Reply& reply) const;
  bool HasOwnState(SessionState state) const;

  SessionState m_state = SessionState::kIdle;
  RecentHashes m_signatures;
  RecentHashes m_errors;
  RecentHashes m_statuses;
  // States of the recorded successes with the signature "-" and no row, one bit each.
  unsigned m_own_states = 0;
  // A copy may have been recorded for a request of the proxy since the last reply that no copy can
  // stand in for. The reply of that request, possibly a refusal, is then still to come.
  bool m_may_be_behind = false;
};

// Whether `operation` is answered with a row that reports the server's status. Pure and thread
// safe.
bool ReturnsStatus(EndpointOperation operation);

// Whether `operation` sends a caller's statement. Pure and thread safe.
bool IsForwarded(EndpointOperation operation);

}  // namespace cardamom
