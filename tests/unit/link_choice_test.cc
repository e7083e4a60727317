// How organisations share the links of one pool.
#include <gtest/gtest.h>

#include <queue>
#include <random>

#include "pool/link_choice.h"

namespace cardamom::testing {
namespace {

constexpr std::size_t kShare = 18;

OrganisationName Name(const std::string& name) {
  return OrganisationName(name);
}

class LinkChoiceTest : public ::testing::Test {
 protected:
  LinkChoiceTest() { m_choice.SetShare(kShare); }

  void OpenAndUse(const OrganisationName& name, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      m_choice.OnOpening(name);
      m_choice.OnOpened(name, true);
      m_choice.OnTaken(name, LinkUse::kStatement, m_now);
    }
  }
  void Return(const OrganisationName& name, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      m_choice.OnReturned(name, LinkUse::kStatement);
    }
  }

  LinkChoice m_choice;
  TimePoint m_now = TimePoint() + Millis(1'000'000);
};

// Guards against links that are closed and opened for most statements, and against statements that
// wait behind idle links of others. The load: 87 organisations, a few of which have most of 8
// statements a second, which take 6 to 55 ms, 12 ms more with a new link.
TEST_F(LinkChoiceTest, MostStatementsFindALinkAndNoneWaitsBehindIdleLinksOfOthers) {
  struct Use {
    TimePoint end;
    OrganisationName name;
    bool operator>(const Use& other) const { return end > other.end; }
  };
  std::mt19937 random(11);
  std::vector<double> weights;
  for (int rank = 1; rank <= 87; ++rank) {
    weights.push_back(1.0 / rank);
  }
  std::discrete_distribution<int> ranks(weights.begin(), weights.end());
  std::exponential_distribution<double> gap_s(8);
  std::priority_queue<Use, std::vector<Use>, std::greater<>> in_use;
  std::vector<IdleLink> idle;
  std::size_t open = 0;
  int found = 0;
  int opened = 0;
  for (int i = 0; i < 10'000; ++i) {
    m_now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap_s(random)));
    for (; !in_use.empty() && in_use.top().end <= m_now; in_use.pop()) {
      Return(in_use.top().name, 1);
      idle.push_back({in_use.top().name, in_use.top().end});
    }
    const auto name = Name("org-" + std::to_string(ranks(random)));
    auto work = Millis(6 + random() % 50);
    const auto own = std::find_if(idle.begin(), idle.end(),
                                  [&](const auto& link) { return link.organisation == name; });
    if (own != idle.end()) {
      idle.erase(own);
      m_choice.OnTaken(name, LinkUse::kStatement, m_now);
      ++found;
    } else if (m_choice.ShouldOpen(name, LinkChoice::kOpenDelay)) {
      if (open == kShare) {
        const auto victim = m_choice.ChooseVictim(idle, name, m_now);
        ASSERT_TRUE(victim);
        m_choice.OnClosed(idle[*victim].organisation);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(*victim));
        --open;
      }
      OpenAndUse(name, 1);
      work += Millis(12);
      ++open;
      ++opened;
    } else {
      FAIL() << "a statement waits";
    }
    in_use.push({m_now + work, name});
  }
  EXPECT_GT(found, opened);
  RecordProperty("found", found);
  RecordProperty("opened", opened);
}

// Guards against an organisation that keeps the links of a burst while others lose theirs, and
// against links that are closed just after a use, between two statements of one session.
TEST_F(LinkChoiceTest, TheVictimIsBeyondTheNeedOfItsOrganisationAndWasNotJustUsed) {
  OpenAndUse(Name("burst"), 3);
  OpenAndUse(Name("steady"), 1);
  Return(Name("burst"), 3);
  Return(Name("steady"), 1);
  const auto burst_end = m_now;
  m_now += Millis(10'000);
  m_choice.OnTaken(Name("burst"), LinkUse::kStatement, m_now);
  m_choice.OnReturned(Name("burst"), LinkUse::kStatement);
  std::vector<IdleLink> idle{{Name("burst"), m_now},
                             {Name("steady"), burst_end - Millis(1000)},
                             {Name("burst"), burst_end},
                             {Name("burst"), burst_end + Millis(1)}};
  EXPECT_EQ(m_choice.ChooseVictim(idle, Name("new"), m_now), 2U);
  idle.resize(2);
  EXPECT_EQ(m_choice.ChooseVictim(idle, Name("new"), m_now), 1U);
  idle.resize(1);
  EXPECT_EQ(m_choice.ChooseVictim(idle, Name("new"), m_now), 0U);
  EXPECT_EQ(m_choice.ChooseVictim(idle, Name("burst"), m_now), std::nullopt);
}

// Guards against a large organisation, whose statements always wait, that keeps every link, and
// against links that change hands although their organisation still has work.
TEST_F(LinkChoiceTest, AReturnedLinkStaysUnlessAnotherOrganisationWaitedClearlyLonger) {
  OpenAndUse(Name("large"), kShare - 1);
  OpenAndUse(Name("small"), 1);
  Return(Name("small"), 1);
  const auto ago = [&](int ms) { return m_now - Millis(ms); };
  const std::vector<LinkWaiter> equal{{Name("new"), ago(60)}, {Name("small"), ago(15)}};
  EXPECT_EQ(m_choice.ChooseWaiter(Name("small"), equal, m_now), 1U);
  const std::vector<LinkWaiter> longer{{Name("new"), ago(70)}, {Name("small"), ago(15)}};
  EXPECT_EQ(m_choice.ChooseWaiter(Name("small"), longer, m_now), 0U);
  const std::vector<LinkWaiter> large{{Name("large"), ago(900)}, {Name("small"), ago(15)}};
  EXPECT_EQ(m_choice.ChooseWaiter(Name("small"), large, m_now), 1U);
  Return(Name("large"), 5);
  const std::vector<LinkWaiter> late{{Name("large"), ago(900)}, {Name("new"), ago(30)}};
  EXPECT_EQ(m_choice.ChooseWaiter(Name("large"), late, m_now), 1U);
}

// Guards against transactions of one organisation that hold all links, and against a limit on the
// links of a proxy without organisations.
TEST_F(LinkChoiceTest, OneOrganisationCannotUseAllLinks) {
  std::size_t used = 0;
  for (; m_choice.MayUse(Name("large")) && used < kShare; ++used) {
    OpenAndUse(Name("large"), 1);
  }
  EXPECT_LT(used, kShare);
  EXPECT_GE(used, kShare / 2);
  EXPECT_TRUE(m_choice.MayUse(Name("small")));
  LinkChoice unshared;
  unshared.SetShare(2);
  unshared.OnOpening({});
  unshared.OnOpening({});
  EXPECT_TRUE(unshared.MayUse({}));
}

}  // namespace
}  // namespace cardamom::testing
