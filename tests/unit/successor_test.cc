// The choice of the next primary from the logs of the stopped servers.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "failover/successor.h"

namespace cardamom::testing {
namespace {

StopResult Stopped(const std::string& id, Position received, bool was_primary = false) {
  StopResult server;
  server.endpoint = EndpointId(id);
  server.was_primary = was_primary;
  server.stopped = true;
  server.received = received;
  return server;
}

StopResult Lost(const std::string& id, bool was_primary) {
  StopResult server;
  server.endpoint = EndpointId(id);
  server.was_primary = was_primary;
  return server;
}

Position At(std::uint64_t term, std::uint64_t index) {
  return {Term(term), LogIndex(index)};
}

// Guards against a lost commit: a server that was just promoted is lost as well as the former
// primary. A commit may have been acknowledged by these two alone.
TEST(SuccessorTest, TwoLostPrimariesAreNotBothIgnored) {
  EXPECT_FALSE(ChooseSuccessor({Lost("a", true), Lost("b", true), Stopped("c", At(1, 5))}));
  EXPECT_EQ(ChooseSuccessor({Lost("a", true), Stopped("b", At(1, 4)), Stopped("c", At(1, 5))}),
            EndpointId("c"));
}

// Guards against a lost commit: the former primary still saw itself as the primary and was stopped,
// while the promoted one was lost. Its log is not the whole log.
TEST(SuccessorTest, FormerPrimaryDoesNotStandForALostOne) {
  EXPECT_FALSE(ChooseSuccessor(
      {Stopped("a", At(1, 5), true), Lost("b", true), Lost("c", false), Stopped("d", At(1, 5))}));
  EXPECT_FALSE(ChooseSuccessor({Stopped("a", At(1, 5), true), Lost("b", true)}));
  // A commit of the lost primary and the stopped one is on the stopped one.
  EXPECT_FALSE(
      ChooseSuccessor({Stopped("a", At(1, 5), true), Lost("b", true), Stopped("c", At(1, 4))}));
}

// Guards against a lost commit: a departed replica was ignored although the chosen one lagged.
TEST(SuccessorTest, EndedReplicaIsIgnoredOnlyIfItsCommitsAreHeld) {
  auto ended = Lost("b", false);
  EXPECT_FALSE(ChooseSuccessor({Lost("a", true), ended, Stopped("c", At(1, 5))}));
  ended.covered_by = At(1, 6);
  EXPECT_FALSE(ChooseSuccessor({Lost("a", true), ended, Stopped("c", At(1, 5))}));
  ended.covered_by = At(1, 5);
  EXPECT_EQ(ChooseSuccessor({Lost("a", true), ended, Stopped("c", At(1, 5))}), EndpointId("c"));
}

// Guards against a group that stays without a primary: the lost primary had been started anew
// shortly before, and its earlier process departed. Both had the log of one server.
TEST(SuccessorTest, TwoProcessesOfALostPrimaryAreOneLostServer) {
  EXPECT_EQ(ChooseSuccessor({Lost("a", true), Lost("a", true), Stopped("c", At(1, 5))}),
            EndpointId("c"));
}

// A number below `end`, for which the size of the test case does not matter.
std::size_t Draw(std::size_t end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, end));
}

// A group whose replicas receive now and then, whose servers end for good and whose primary is
// replaced by a server that holds every acknowledged commit.
class RandomGroup {
 public:
  explicit RandomGroup(std::size_t count) : m_servers(count) {}

  void Step() {
    switch (Draw(6)) {
      case 0:
      case 1:
      case 2:
        return Commit();
      case 3: {
        const auto ending = Draw(m_servers.size());
        m_servers[ending].ended = m_servers[ending].ended || ending != m_primary;
        return;
      }
      case 4:
        return Sample();
      default:
        return Replace();
    }
  }

  std::vector<StopResult> Stop() {
    std::vector<StopResult> results;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      const auto& server = m_servers[i];
      const auto id = "e" + std::to_string(i);
      const bool stopped = !server.ended && Draw(4) > 0;
      auto result = stopped ? Stopped(id, EndOf(server)) : Lost(id, false);
      // A proxy may not know that a primary was replaced.
      result.was_primary = i == m_primary || (!stopped && server.was_primary && Draw(2) == 0);
      result.leaving = Draw(4) == 0;
      result.covered_by = server.ended ? server.covered_by : std::nullopt;
      results.push_back(result);
    }
    return results;
  }

  bool HoldsAllAcknowledged(const EndpointId& id) const {
    const auto& log = m_servers[std::stoul(id.value().substr(1))].log;
    return std::includes(log.begin(), log.end(), m_acknowledged.begin(), m_acknowledged.end());
  }

 private:
  struct Server {
    std::vector<Position> log;
    bool ended = false;
    bool was_primary = false;
    std::optional<Position> covered_by;
  };

  static Position EndOf(const Server& server) {
    return server.log.empty() ? At(1, 0) : server.log.back();
  }

  void Commit() {
    auto& primary = m_servers[m_primary];
    primary.log.push_back(At(m_term, primary.log.size() + 1));
    bool received = false;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
      if (i != m_primary && !m_servers[i].ended && Draw(2) == 0) {
        m_servers[i].log = primary.log;
        received = true;
      }
    }
    if (received) {
      // Commits are acknowledged in order, so this acknowledges the earlier ones as well.
      m_acknowledged = primary.log;
    }
  }

  void Sample() {
    const auto position = EndOf(m_servers[m_primary]);
    for (auto& server : m_servers) {
      if (server.ended) {
        server.covered_by = std::min(server.covered_by.value_or(position), position);
      }
    }
  }

  void Replace() {
    const auto next = Draw(m_servers.size());
    if (m_servers[next].ended || !HoldsAllAcknowledged(EndpointId("e" + std::to_string(next)))) {
      return;
    }
    auto& former = m_servers[m_primary];
    former.was_primary = true;
    former.ended = next != m_primary && Draw(2) == 0;
    m_primary = next;
    ++m_term;
    const auto& log = m_servers[next].log;
    for (auto& server : m_servers) {
      if (!server.ended) {
        const auto common =
            std::mismatch(server.log.begin(), server.log.end(), log.begin(), log.end());
        server.log.erase(common.first, server.log.end());
      }
    }
  }

  std::vector<Server> m_servers;
  std::size_t m_primary = 0;
  std::uint64_t m_term = 1;
  std::vector<Position> m_acknowledged;
};

RC_GTEST_PROP(SuccessorProperty, HoldsEveryAcknowledgedCommitAfterDeparturesAndPromotions, ()) {
  for (int walk = 0; walk < 20; ++walk) {
    RandomGroup group(2 + Draw(3));
    const auto steps = Draw(30);
    for (std::size_t i = 0; i < steps; ++i) {
      group.Step();
    }
    const auto chosen = ChooseSuccessor(group.Stop());
    RC_ASSERT(!chosen || group.HoldsAllAcknowledged(*chosen));
  }
}

}  // namespace
}  // namespace cardamom::testing
