// Tests of base64, and of peer messages that are corrupted in transit.
#include "core/base64.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <stdexcept>

#include "fleet/peer_codec.h"

namespace cardamom {
namespace {

RC_GTEST_PROP(Base64Property, RoundTripsArbitraryBytes, (const std::string& bytes)) {
  RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
}

RC_GTEST_PROP(Base64Property, DecodesOrRejectsArbitraryText, (const std::string& text)) {
  try {
    const auto bytes = DecodeBase64(text);
    RC_ASSERT(bytes.size() <= text.size() + 3);
  } catch (const std::runtime_error&) {
    RC_SUCCEED("refused");
  }
}

TEST(Base64Test, KnownTexts) {
  EXPECT_EQ(EncodeBase64("cardamom"), "Y2FyZGFtb20=");
  EXPECT_EQ(DecodeBase64("Y2FyZGFtb20="), "cardamom");
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_THROW(DecodeBase64("="), std::runtime_error);
}

// Guards against a crash and against enumerators out of range when a peer message arrives with
// corrupted bytes: it is either rejected or decoded to values in range.
RC_GTEST_PROP(PeerMessageProperty, CorruptedMessageIsRejectedOrInRange, ()) {
  PeerStatement message;
  message.group = "g";
  message.text = "FETCH a";
  message.values["k"] = "v";
  message.committed = Position{Term(3), LogIndex(9)};
  auto text = EncodeJson(message);
  const auto corrupted_bytes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < corrupted_bytes; ++i) {
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
  }
  const auto decoded = DecodeJson<PeerStatement>(text);
  if (decoded) {
    const auto in = FromMessage(*decoded, Clock::now(), BootClock::now());
    if (in) {
      RC_ASSERT(static_cast<int>(in->statement.kind) <=
                static_cast<int>(StatementKind::kDeallocate));
      RC_ASSERT(static_cast<int>(in->operation) <= static_cast<int>(PeerOperation::kRollback));
    }
  }
}

}  // namespace
}  // namespace cardamom
