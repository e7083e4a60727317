// Decides which acknowledgements of commits a proxy passes on to callers while the primary of a
// group is being replaced.
//
// A takeover compares the logs of the servers that it knows. A server that it does not know, or
// that restarts meanwhile, may still let the old primary acknowledge commits. So the proxies hold
// such acknowledgements back until the outcome is known: first the earlier ballots are made void,
// then the logs are read.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cardamom/strong.h"
#include "core/clock.h"

namespace cardamom {

// What is known of the position of an acknowledged commit. A value type.
struct AcknowledgedCommit {
  // The position after the last one that its server had reported before the commit was sent; 0 if
  // none is known.
  Position at_least;
  // The end of the log when the server answered. It may lie beyond the commit, and entries there
  // may be on no other server.
  Position at_most;
};

// How a takeover ended. A value type.
struct HoldRelease {
  // The fencing token of the takeover.
  std::uint64_t token = 0;
  // Commits of this term and of later ones stand: it is the term of the primary that was kept, or
  // the first one that the promoted server can lead.
  Term term;
  // End of the log of the promoted server when it was chosen; not set if no server was promoted.
  std::optional<Position> base;
};

// What to do with an acknowledgement that a server sent.
enum class AcknowledgementVerdict {
  kPassOn,
  kWait,
  // The commit may be missing in the log of the present primary.
  kInDoubt,
};

// A hold without news for this long is left behind by its holder, so that another takeover has to
// end it.
constexpr Millis kHoldWithoutNews{2000};
// Every order that was sent with the token of a hold has been carried out after this time: the
// validity of the token, the longest delay of an order and the time that a promotion takes.
constexpr Millis kLongestHold{15'000};

// The hold of one group at one proxy. Pure: times are passed in. Not thread safe.
class AcknowledgementHold {
 public:
  // Begins a hold, or takes over one with a lower token. Returns false, and changes nothing, if a
  // greater token has been seen or this one was released.
  bool Hold(std::uint64_t token, BootTime now);

  // Ends the hold. Returns false, and changes nothing, if a greater token has been seen.
  bool Release(const HoldRelease& release);

  bool IsHeld(BootTime now) const;
  // Whether the hold has lasted for kHoldWithoutNews.
  bool IsLeftBehind(BootTime now) const;
  // When the present hold ends by itself; nothing if there is none.
  std::optional<BootTime> HeldUntil() const;

  // `has_waited`: the acknowledgement arrived during a hold. One that was held until the hold ended
  // by itself is in doubt.
  AcknowledgementVerdict Judge(const AcknowledgedCommit& commit,
                               bool has_waited,
                               BootTime now) const;

  // Records an acknowledgement that is passed on.
  void OnPassedOn(const AcknowledgedCommit& commit);
  // A log that holds every commit passed on reaches this position; 0 before the first. A promotion
  // lowers it to its base.
  Position passed_on() const { return m_passed_on; }
  // The greatest end of a log that came with a commit passed on; 0 before the first. Every commit
  // passed on lies at or before it, but a log that holds them all need not reach it.
  Position log_end() const { return m_log_end; }
  // `position`, or the end of the log that later promotions left of it.
  Position StandingPart(Position position) const;
  // Commits of earlier terms are in doubt unless a promotion covers them.
  Term confirmed_term() const { return m_confirmed_term; }
  // The greatest token seen.
  std::uint64_t token() const { return m_token; }

 private:
  // Commits of terms before `term` stand up to `base`.
  struct Promotion {
    Term term;
    Position base;
  };

  std::uint64_t m_token = 0;
  // Greatest token that was released.
  std::uint64_t m_released = 0;
  std::optional<BootTime> m_held_since;
  // Commits of earlier terms are in doubt unless a promotion's base covers them.
  Term m_confirmed_term;
  std::vector<Promotion> m_promotions;
  Position m_passed_on;
  Position m_log_end;
};

}  // namespace cardamom
