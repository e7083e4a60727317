// The choice of the next primary from the logs of the stopped servers.
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace cardamom::testing
