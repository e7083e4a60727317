// Tests of the checks on statements that other proxies forward.
#include <gtest/gtest.h>

#include <string>

#include "fleet/peer_codec.h"

namespace cardamom::testing {
namespace {

bool IsAccepted(const PeerStatement& message) {
  return FromMessage(message, Clock::now(), BootClock::now()).has_value();
}

// Guards against a forwarded statement that a server would read as two.
TEST(PeerCodecTest, TextsWithLineEndsAreRefused) {
  for (const std::string bad : {"a\r\nQUERY 2 PUT b c", "a\nb", "a\rb", "a\x7f"}) {
    for (const auto member :
         {&PeerStatement::id, &PeerStatement::text, &PeerStatement::name, &PeerStatement::value}) {
      PeerStatement message;
      EXPECT_TRUE(IsAccepted(message));
      message.*member = bad;
      EXPECT_FALSE(IsAccepted(message)) << bad;
    }
    PeerStatement message;
    message.prepared_shape = bad;
    EXPECT_FALSE(IsAccepted(message)) << bad;
    message = {};
    message.organisation = bad;
    EXPECT_FALSE(IsAccepted(message)) << bad;
    message = {};
    message.values[bad] = "value";
    EXPECT_FALSE(IsAccepted(message)) << bad;
    message.values = {{"name", bad}};
    EXPECT_FALSE(IsAccepted(message)) << bad;
  }
}

// Guards against a caller's statement that runs under the id of the proxy's own statements.
TEST(PeerCodecTest, ForwardedIdsAreOneWord) {
  for (const std::string bad : {"a b", "-"}) {
    PeerStatement message;
    message.id = bad;
    EXPECT_FALSE(IsAccepted(message)) << bad;
  }
}

}  // namespace
}  // namespace cardamom::testing
