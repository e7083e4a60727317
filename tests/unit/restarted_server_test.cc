// A server that restarted answers under its old id, with a shorter log than the process that
// acknowledged commits.
#include <gtest/gtest.h>

#include "takeover_fixture.h"

namespace cardamom::testing {
namespace {

using RestartedServerTest = TakeoverFixture;

// Guards against a lost commit: a leaving primary reported its status, restarted without its log
// and then answered the stop as a replica. Its empty log passed for the whole log of the old
// primary, and a replica that lacked commits for one that held them all.
TEST_F(RestartedServerTest, PrimaryThatRestartsBeforeTheStopDoesNotShowItsLog) {
  m_fake_group.server(1).replication_blocked = true;
  ASSERT_TRUE(m_fake_group.Commit(m_fake_group.server(0), "w1"));
  Sample(0);
  m_fake_group.server(0).entry.leaving = true;
  List(m_fake_group.Entries());
  m_fake_group.server(0).restarts_after_status = true;
  m_fake_group.server(2).unresponsive = true;
  EXPECT_FALSE(EndsWithPrimary(TakeoverReason::kLeaving));
  EXPECT_TRUE(WasNothingLost());
}

}  // namespace
}  // namespace cardamom::testing
