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

// Guards against statements and rows that cannot be forwarded because they are not UTF-8.
TEST(PeerCodecTest, TextsAndRowsMayBeAnyBytes) {
  const std::string bytes = "\xff\xfe \xc3\x28\t\n\r\x01 \"\\ \xc3\xa4";
  PeerStatement statement;
  statement.text = bytes;
  statement.values["name"] = bytes;
  const auto statement_read = DecodeStatement(EncodeJson(statement));
  ASSERT_TRUE(statement_read);
  EXPECT_EQ(statement_read->text, bytes);
  EXPECT_EQ(statement_read->values, statement.values);
  PeerReply reply;
  reply.rows = {bytes, "", bytes};
  const auto reply_read = DecodeReply(EncodeJson(reply));
  ASSERT_TRUE(reply_read);
  EXPECT_EQ(reply_read->rows, reply.rows);
}

// Guards against a crash at a message that is no JSON or has members of other types.
TEST(PeerCodecTest, UnreadableBodiesAreErrors) {
  for (const std::string bad : {"", "{", "[]", R"({"rows": 1})", R"({"text": 1})"}) {
    EXPECT_FALSE(DecodeReply(bad) && DecodeStatement(bad)) << bad;
  }
}

}  // namespace
}  // namespace cardamom::testing
