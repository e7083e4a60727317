// Runs random schedules of the real promotion rules (TermRow, PromotionPlan, GroupView) on the
// stand-in's log. No acknowledged write may be missing on a later primary. Each rule is also
// disabled, to show that the property can fail.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <list>
#include <map>
#include <random>
#include <set>

#include "failover/promotion_plan.h"
#include "group/group_view.h"
#include "standin/replication_state.h"

namespace cardamom {
namespace {

// The rule that is disabled. Each comment describes what a schedule does without the rule; a
// server's lineage is the term of the primary whose log it follows.
enum class Rule {
  kNone,
  // Acknowledge as soon as the primary holds a write.
  kMajority,
  // Fence only the voters of the last complete term.
  kAllSets,
  // Fence one voter of each set.
  kFenceMajority,
  // Count what a server holds in any lineage.
  kLineage,
  // Use the lineage that a server followed last as the term of its last entry.
  kEntryTerm,
  // Mark a term complete at any time.
  kComplete,
};

constexpr int kServers = 5;
constexpr int kMaxPromotions = 4;

class Schedule {
 public:
  Schedule(std::uint64_t seed, Rule off) : m_random(seed), m_disabled_rule(off) {
    for (int i = 0; i < kServers; ++i) {
      m_servers.emplace(Id(i), ReplicationState(Id(i)));
    }
    const auto first = m_row.Allocate({Id(0), Id(1), Id(2)}, "first");
    (void)m_servers.at(Id(0)).Fence(first.term);
    (void)m_servers.at(Id(0)).Promote({first.term, {}, Note(Id(0), first.voters)});
    m_row.MarkComplete(first.term);
  }

  // Returns whether no acknowledged write was ever missing on a new primary.
  bool Run(int steps) {
    for (int i = 0; i < steps && m_safe; ++i) {
      switch (Pick(12)) {
        case 0:
        case 1:
          Write();
          break;
        case 2:
        case 3:
        case 4:
          Pull();
          break;
        case 5:
        case 6:
          Observe();
          break;
        case 7:
          Acknowledge();
          break;
        case 8:
          Allocate();
          break;
        case 9:
          Fence();
          Fence();
          break;
        case 10:
          Promote();
          break;
        default:
          Complete();
      }
    }
    return m_safe;
  }

  std::size_t acknowledged() const { return m_acknowledged.size(); }
  int promoted() const { return m_promoted; }

 private:
  struct Promotion {
    PromotionPlan plan;
    Term term;
  };
  struct Pending {
    Position position;
    IdempotencyKey key;
  };

  static EndpointId Id(int i) { return EndpointId("s" + std::to_string(i)); }
  static std::string Note(const EndpointId& primary, const std::vector<EndpointId>& voters) {
    return EncodeJson(TermNote{primary, voters});
  }
  int Pick(int n) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(n)); }
  ReplicationState& AnyServer() { return m_servers.at(Id(Pick(kServers))); }

  // Precondition: there is a promotion.
  std::list<Promotion>::iterator AnyPromotion() {
    return std::next(m_promotions.begin(), Pick(static_cast<int>(m_promotions.size())));
  }

  std::vector<ReplicationState*> Primaries() {
    std::vector<ReplicationState*> primaries;
    for (auto& [id, server] : m_servers) {
      if (server.State().is_primary) {
        primaries.push_back(&server);
      }
    }
    return primaries;
  }

  void Write() {
    const auto primaries = Primaries();
    if (primaries.empty()) {
      return;
    }
    auto& server = *primaries[static_cast<std::size_t>(Pick(static_cast<int>(primaries.size())))];
    WriteRequest request;
    request.key = IdempotencyKey("k" + std::to_string(++m_keys));
    request.statement.sql = "SELECT 1";
    const auto answer = server.Write(request);
    if (answer) {
      m_pending.push_back({answer->position, request.key});
      m_holders[request.key] = server.State().endpoint;
    }
  }

  void Pull() {
    const auto primaries = Primaries();
    if (primaries.empty()) {
      return;
    }
    const auto& source =
        *primaries[static_cast<std::size_t>(Pick(static_cast<int>(primaries.size())))];
    auto& target = AnyServer();
    const auto term = source.State().lineage;
    if (&target == &source) {
      return;
    }
    if (target.fenced_term() != term || target.primary_address().empty()) {
      if (!target.Follow({term, "address", {}})) {
        return;
      }
    }
    CopyFrom(source, target, term, static_cast<std::uint32_t>(1 + Pick(3)), false);
  }

  // Pulls until the common prefix is found and entries arrived, at most 200 times. With
  // `copy_only`, until `target` holds the log of `source`.
  static void CopyFrom(const ReplicationState& source,
                       ReplicationState& target,
                       Term term,
                       std::uint32_t limit,
                       bool copy_only) {
    for (int i = 0; i < 200; ++i) {
      LogRequest request;
      request.term = term;
      request.after = target.NextPullPosition();
      request.limit = limit;
      const auto answer = source.ReadLog(request);
      if (!answer) {
        return;
      }
      target.AppendPulledEntries(term, request.after, *answer, copy_only);
      target.ApplyUpTo(target.LastEntry().index);
      if (!answer->mismatch && (!copy_only || target.LastEntry() == source.LastEntry())) {
        return;
      }
    }
  }

  void Observe() {
    auto state = AnyServer().State();
    if (m_disabled_rule == Rule::kLineage && state.lineage < m_view.term()) {
      state.lineage = m_view.term();
      state.fenced = std::max(state.fenced, state.lineage);
    }
    m_now += Millis(1);
    m_view.Observe(state, m_now, m_now);
  }

  void Acknowledge() {
    std::erase_if(m_pending, [&](const Pending& pending) {
      if (m_disabled_rule != Rule::kMajority && !m_view.IsCommitted(pending.position)) {
        return false;
      }
      m_acknowledged.emplace(pending.key, pending.position.term);
      return true;
    });
  }

  void Allocate() {
    if (m_promotions.size() >= kMaxPromotions) {
      return;
    }
    auto voters = m_row.allocations.back().voters;
    if (Pick(3) == 0) {
      std::vector<EndpointId> all;
      for (int i = 0; i < kServers; ++i) {
        all.push_back(Id(i));
      }
      std::shuffle(all.begin(), all.end(), m_random);
      all.resize(3);
      voters = all;
    }
    const auto term = m_row.Allocate(voters, "p" + std::to_string(m_row.last.value())).term;
    auto task = *m_row.PromotionTaskFor(term);
    if (m_disabled_rule == Rule::kAllSets) {
      task.voter_sets.resize(1);
    }
    if (m_disabled_rule == Rule::kFenceMajority) {
      for (auto& set : task.voter_sets) {
        set = {set[static_cast<std::size_t>(Pick(static_cast<int>(set.size())))]};
      }
    }
    std::shuffle(voters.begin(), voters.end(), m_random);
    std::optional<EndpointId> suspect;
    if (Pick(2) == 0) {
      suspect = m_view.primary();
    }
    m_promotions.push_back({PromotionPlan(std::move(task), voters, suspect), term});
  }

  void Fence() {
    if (m_promotions.empty()) {
      return;
    }
    const auto place = AnyPromotion();
    if (Pick(40) == 0) {
      m_promotions.erase(place);
      return;
    }
    auto& promotion = *place;
    auto& server = AnyServer();
    if (server.fenced_term() < promotion.term && server.Fence(promotion.term)) {
      auto last = server.LastEntry();
      if (m_disabled_rule == Rule::kEntryTerm) {
        last.term = server.State().lineage;
      }
      promotion.plan.OnFenced(server.State().endpoint, last);
    }
  }

  void Promote() {
    if (m_promotions.empty()) {
      return;
    }
    const auto place = AnyPromotion();
    auto& promotion = *place;
    if (!promotion.plan.IsFenced()) {
      return;
    }
    const auto candidate = promotion.plan.Candidate();
    if (!candidate || m_servers.at(*candidate).fenced_term() != promotion.term) {
      return;
    }
    auto& target = m_servers.at(*candidate);
    const auto& source = m_servers.at(promotion.plan.LogSource());
    if (&source != &target) {
      CopyFrom(source, target, promotion.term, 1000, true);
    }
    auto last = promotion.plan.GreatestPosition();
    if (m_disabled_rule == Rule::kEntryTerm) {
      last = target.LastEntry();
    }
    const auto& voters = promotion.plan.allocation().voters;
    if (target.Promote({promotion.term, last, Note(*candidate, voters)})) {
      ++m_promoted;
      CheckNothingLost(target, promotion.term);
    }
    m_promotions.erase(place);
  }

  void CheckNothingLost(ReplicationState& primary, Term term) {
    for (const auto& [key, acknowledged_in] : m_acknowledged) {
      if (acknowledged_in < term && !primary.FindKey(key)) {
        m_safe = false;
      }
    }
  }

  void Complete() {
    if (m_disabled_rule == Rule::kComplete && !m_row.allocations.empty()) {
      m_row.MarkComplete(m_row.allocations.back().term);
    } else if (m_view.IsTermComplete()) {
      m_row.MarkComplete(m_view.term());
    }
  }

  std::mt19937_64 m_random;
  const Rule m_disabled_rule;
  std::map<EndpointId, ReplicationState> m_servers;
  TermRow m_row;
  GroupView m_view;
  TimePoint m_now;
  std::list<Promotion> m_promotions;
  std::vector<Pending> m_pending;
  std::map<IdempotencyKey, EndpointId> m_holders;
  std::map<IdempotencyKey, Term> m_acknowledged;
  int m_keys = 0;
  int m_promoted = 0;
  bool m_safe = true;
};

constexpr int kSteps = 220;

RC_GTEST_PROP(PromotionProperty, NoAcknowledgedWriteIsLost, (std::uint64_t seed)) {
  Schedule schedule(seed, Rule::kNone);
  const bool safe = schedule.Run(kSteps);
  RC_CLASSIFY(schedule.acknowledged() > 0, "acknowledged something");
  RC_CLASSIFY(schedule.promoted() > 0, "promoted somebody");
  RC_ASSERT(safe);
}

class RuleTest : public testing::TestWithParam<Rule> {};

// Maximum number of schedules to run in search of one that loses a write because the rule is
// disabled.
constexpr std::uint64_t kMaxSchedules = 4000;

TEST_P(RuleTest, DisablingTheRuleLosesAWrite) {
  std::uint64_t seed = 0;
  while (seed < kMaxSchedules && Schedule(seed, GetParam()).Run(kSteps)) {
    ++seed;
  }
  EXPECT_LT(seed, kMaxSchedules) << "no schedule lost a write without the rule";
}

INSTANTIATE_TEST_SUITE_P(EachRule,
                         RuleTest,
                         testing::Values(Rule::kMajority,
                                         Rule::kAllSets,
                                         Rule::kFenceMajority,
                                         Rule::kLineage,
                                         Rule::kEntryTerm,
                                         Rule::kComplete));

}  // namespace
}  // namespace cardamom
