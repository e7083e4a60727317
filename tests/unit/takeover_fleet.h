// The proxies of the takeover model as the callers' way to the group: acknowledgements of commits
// pass through them, and the holder of a token makes them hold these back.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "cardamom/strong.h"
#include "takeover_group.h"
#include "takeover_notices.h"
#include "takeover_platform.h"
#include "takeover_world.h"

namespace cardamom::takeover_model {

// Proxies that carry commits. The first two also perform takeovers.
constexpr int kFleetSize = 3;

// Bounds of the highest position that was acknowledged to callers.
struct PassedOn {
  // The position after the last one that was known before the commit was sent.
  Position at_least;
  // The end of the primary's log when it acknowledged the commit.
  Position at_most;
};

// The part of a proxy that passes acknowledgements on to callers.
class AcknowledgementGate {
 public:
  // `view`: what the lease rests on, see StoreView; the gate always has one if it is null.
  AcknowledgementGate(World& world, Group& group, int index, const StoreView* view)
      : m_world(world), m_group(group), m_index(index), m_view(view) {}

  // Sends a commit to the primary. Its number is greater than any that the proxy knew before.
  Position SendCommit(Term term) const;
  // Delivers the server's answer to a commit that was sent with the bound `at_least`. The log of
  // the server ended at `log_end`, or beyond the commit.
  void Deliver(int commit, Position at_least, Position log_end);
  // Returns what was acknowledged to callers, or nothing if the gate has seen a greater token.
  std::optional<PassedOn> Hold(std::uint64_t token);
  void HandleRelease(const Release& release);
  void HandleNotice(const Notice& notice);
  void Advance();

  bool is_held() const { return m_held_since.has_value(); }
  // The gate has held back acknowledgements for long without news.
  bool is_overdue() const;
  std::uint64_t greatest_token() const { return m_greatest_token; }
  void Suspend(std::int64_t duration) { m_suspended_until = m_world.now() + duration; }
  bool is_suspended() const { return m_world.now() < m_suspended_until; }

 private:
  struct Answer {
    int commit = 0;
    Position at_least;
    Position log_end;
    // A witness has received the commit.
    bool is_witnessed = false;
    // When the statement of one that waits for a witness reaches its deadline.
    std::int64_t deadline = 0;
  };

  bool IsValid(const Answer& answer) const;
  void PassOn(const Answer& answer);
  bool HasLease() const { return m_view == nullptr || m_view->HasLease(); }
  void LookForWitnesses();

  World& m_world;
  Group& m_group;
  const int m_index;
  const StoreView* const m_view;
  std::uint64_t m_greatest_token = 0;
  std::uint64_t m_released_token = 0;
  // The token that the hold began with.
  std::uint64_t m_first_token = 0;
  std::optional<std::int64_t> m_held_since;
  std::int64_t m_news_at = 0;
  std::int64_t m_suspended_until = 0;
  std::vector<Answer> m_waiting;
  // Acknowledgements that arrived without a lease.
  std::vector<Answer> m_unwitnessed;
  // Greatest position that a server reported.
  Position m_known;
  PassedOn m_passed_on;
  // Validity of older acknowledgements, from the last release.
  Term m_term;
  Position m_base;
};

class Fleet {
 public:
  Fleet(World& world, Group& group, Store& store);

  // A random proxy sends a commit to the primary, which assigns it a number.
  void SendCommit(int commit, Term term);
  // The primary acknowledges a commit while its log ends at `log_end`.
  void Acknowledge(int commit, Position log_end);

  // Asks all proxies to hold acknowledgements back. The holder `from` repeats the request to those
  // that did not answer as long as it calls RepeatHold, and writes a notice if `posts_notice`.
  void BeginHold(int from, std::uint64_t token, bool posts_notice);
  void RepeatHold(int from);
  // Whether all proxies have answered.
  bool HasAllAnswers(int from) const;
  bool IsRefused(int from) const;
  // Whether the notice was written; nothing until that is known.
  std::optional<bool> IsNoticePosted(int from) const {
    return m_writers[static_cast<std::size_t>(from)].is_posted();
  }
  // The highest bounds that the proxies reported.
  PassedOn HighestReported(int from) const;
  void SendRelease(int from, const Release& release);

  void Advance();
  // All proxies start again. Callers hear nothing of what was under way.
  void Restart();
  void SuspendSome();
  // Cuts a holder off from a proxy or reconnects it.
  void ChangeReach();
  const AcknowledgementGate& gate(int i) const { return m_gates[static_cast<std::size_t>(i)]; }
  void Suspend(int i, std::int64_t duration) {
    m_gates[static_cast<std::size_t>(i)].Suspend(duration);
  }

 private:
  struct Commit {
    int commit = 0;
    int gate = 0;
    Position at_least;
  };
  struct Acknowledgement {
    Commit commit;
    Position log_end;
    std::int64_t at = 0;
  };
  struct Message {
    int from = 0;
    int to = 0;
    // A hold if there is no release.
    std::optional<Release> release;
    std::uint64_t token = 0;
    std::int64_t at = 0;
  };
  // Answers to the hold of a proxy that performs a takeover.
  struct Answers {
    std::uint64_t token = 0;
    std::array<std::optional<PassedOn>, kFleetSize> positions;
    bool refused = false;
    std::int64_t repeat_at = 0;
  };

  void SendHold(int from, int to);
  void Send(Message message);
  void DeliverMessages();
  void DeliverAcknowledgements();
  // Creates the processes' state; they see the listed servers since `listed_since`.
  void Start(std::int64_t listed_since);
  void FollowStore();
  std::int64_t MessageDelay();
  bool Reaches(int from, int to) const {
    return !m_unreachable[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
  }

  World& m_world;
  Group& m_group;
  Store& m_store;
  // The gates refer to the views, which stay in place.
  std::vector<StoreView> m_views;
  std::vector<NoticeWriter> m_writers;
  std::vector<AcknowledgementGate> m_gates;
  std::vector<Commit> m_sent;
  std::vector<Acknowledgement> m_acknowledgements;
  std::vector<Message> m_messages;
  std::array<Answers, 2> m_answers;
  std::array<std::array<bool, kFleetSize>, 2> m_unreachable{};
};

}  // namespace cardamom::takeover_model
