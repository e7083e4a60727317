// Unit and property tests of session tokens, records, settings, transaction ids and the event
// timeline.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/leaf/handle_errors.hpp>

#include "cardamom/group_record.h"
#include "cardamom/session_token.h"
#include "settings/settings.h"
#include "tools/ctl/timeline_format.h"
#include "transaction/transaction_id.h"

namespace cardamom {
namespace {

constexpr const char* kKey = "0123456789abcdef";

// The code of the error that `make` returns, or kOk.
template <typename Make>
ResultCode CodeOf(Make make) {
  return boost::leaf::try_handle_all(
      [&]() -> LeafResult<ResultCode> {
        BOOST_LEAF_CHECK(make());
        return ResultCode::kOk;
      },
      [](const Error& error) { return error.code; }, [] { return ResultCode::kTransport; });
}

SessionToken ParseOrDie(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> LeafResult<SessionToken> { return SessionToken::Parse(text, kKey); },
      []() -> SessionToken { throw std::runtime_error("not a token"); });
}

RC_GTEST_PROP(SessionTokenProperty,
              SurvivesTheRoundTrip,
              (const std::map<std::uint8_t, std::pair<std::uint32_t, std::uint32_t>>& entries)) {
  SessionToken token;
  for (const auto& [group, position] : entries) {
    token.Advance(GroupId("g" + std::to_string(group)),
                  {Term(position.first), LogIndex(position.second)});
  }
  const auto copy = ParseOrDie(token.Format(kKey));
  for (const auto& [group, position] : entries) {
    const GroupId id("g" + std::to_string(group));
    RC_ASSERT(copy.RequirementFor(id).has_position == token.RequirementFor(id).has_position);
    RC_ASSERT(copy.RequirementFor(id).position == token.RequirementFor(id).position);
  }
}

RC_GTEST_PROP(SessionTokenProperty, RejectsTokenWithChangedByte, (std::uint64_t index)) {
  SessionToken token;
  token.Advance(GroupId("orders"), {Term(3), LogIndex(index % 1000)});
  auto text = token.Format(kKey);
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto byte = *rc::gen::arbitrary<char>();
  RC_PRE(byte != text[place]);
  text[place] = byte;
  RC_ASSERT(CodeOf([&] { return SessionToken::Parse(text, kKey); }) != ResultCode::kOk);
}

RC_GTEST_PROP(SessionTokenProperty, RejectsArbitraryText, (const std::string& text)) {
  RC_ASSERT(CodeOf([&] { return SessionToken::Parse(text, kKey); }) != ResultCode::kOk);
}

TEST(SessionTokenTest, DropsLeastRecentlyUsedGroupAboveLimit) {
  SessionToken token;
  for (std::size_t i = 0; i <= SessionToken::kMaxGroups; ++i) {
    token.Advance(GroupId("g" + std::to_string(i)), {Term(1), LogIndex(1)});
  }
  EXPECT_EQ(token.size(), SessionToken::kMaxGroups);
  EXPECT_FALSE(token.RequirementFor(GroupId("g0")).has_position);
}

TEST(SessionTokenTest, PositionsOnlyGrow) {
  SessionToken token;
  token.Advance(GroupId("g"), {Term(2), LogIndex(5)});
  token.Advance(GroupId("g"), {Term(1), LogIndex(9)});
  EXPECT_EQ(token.RequirementFor(GroupId("g")).position, (Position{Term(2), LogIndex(5)}));
}

// RECORDS

TEST(GroupRecordTest, ReportsEveryErrorWithItsPath) {
  const auto check = ParseRecord(R"({
    "schema": 2, "group": "bad group", "colour": "red", "slots": 0, "max_read_age_ms": "long",
    "endpoints": [
      {"id": "a", "address": "127.0.0.1:1"},
      {"id": "a", "address": "nowhere"},
      {"id": "b", "address": "127.0.0.1:1", "state": "tired"},
      7
    ],
    "initial_primary": "z"})");
  std::set<std::string> places;
  for (const auto& problem : check.problems) {
    places.insert(problem.path);
  }
  const std::set<std::string> expected = {"/group",
                                          "/colour",
                                          "/slots",
                                          "/max_read_age_ms",
                                          "/endpoints/1/id",
                                          "/endpoints/1/address",
                                          "/endpoints/2/address",
                                          "/endpoints/2/state",
                                          "/endpoints/3",
                                          "/initial_primary"};
  EXPECT_EQ(places, expected);
  EXPECT_FALSE(check.record);
}

TEST(GroupRecordTest, TheOldSchemaIsConverted) {
  const auto check = ParseRecord(
      R"({"schema":1,"group":"g","servers":[{"id":"a","address":"127.0.0.1:1"}],"primary":"a",)"
      R"("max_staleness_ms":250})");
  ASSERT_TRUE(check.record);
  EXPECT_EQ(check.record->max_read_age_ms, 250U);
  EXPECT_EQ(check.record->initial_primary, EndpointId("a"));
}

TEST(GroupRecordTest, DistinguishesUnknownFromInvalidSchema) {
  EXPECT_TRUE(ParseRecord(R"({"schema":3,"group":"g"})").schema_unknown);
  EXPECT_FALSE(ParseRecord(R"({"schema":"2"})").schema_unknown);
}

RC_GTEST_PROP(GroupRecordProperty, FormatAndParseAgree, ()) {
  GroupRecord record;
  record.group = GroupId("g");
  const auto count = *rc::gen::inRange(1, 8);
  for (int i = 0; i < count; ++i) {
    record.endpoints.push_back({EndpointId("e" + std::to_string(i)),
                                "127.0.0.1:" + std::to_string(1000 + i),
                                FailureDomain("d" + std::to_string(i % 3)), Region("r"),
                                i > 0 && *rc::gen::arbitrary<bool>()});
  }
  record.initial_primary = record.endpoints.front().id;
  record.slots = *rc::gen::inRange<std::uint32_t>(1, 100);
  record.max_read_age_ms = *rc::gen::inRange<std::uint32_t>(1, 10'000);
  const auto check = ParseRecord(FormatRecord(record));
  RC_ASSERT(check.record == record);
}

RC_GTEST_PROP(GroupRecordProperty,
              ReturnsRecordOrProblemsForArbitraryText,
              (const std::string& text)) {
  const auto check = ParseRecord(text);
  RC_ASSERT(check.record.has_value() == check.problems.empty());
}

// SETTINGS

std::vector<std::string> GoodArguments() {
  return {"--vm-id",     "vm0",        "--domain",         "d",           "--platform",
          "127.0.0.1:1", "--peer-key", "0123456789abcdef", "--token-key", "0123456789abcdef"};
}

ResultCode SettingsCode(const std::vector<std::string>& more,
                        const std::map<std::string, std::string>& environment = {}) {
  auto arguments = GoodArguments();
  arguments.insert(arguments.end(), more.begin(), more.end());
  return CodeOf([&] {
    return Settings::Read(arguments, [&](const std::string& name) -> std::optional<std::string> {
      const auto it = environment.find(name);
      return it == environment.end() ? std::nullopt : std::optional(it->second);
    });
  });
}

TEST(SettingsTest, EveryValueIsChecked) {
  EXPECT_EQ(SettingsCode({}), ResultCode::kOk);
  EXPECT_EQ(SettingsCode({"--unknown", "1"}), ResultCode::kBadSetting);
  EXPECT_EQ(SettingsCode({"--log-level", "loud"}), ResultCode::kBadSetting);
  EXPECT_EQ(SettingsCode({"--listen-callers", "localhost:1"}), ResultCode::kBadSetting);
  EXPECT_EQ(SettingsCode({}, {{"CARDAMOM_THREADS", "4"}}), ResultCode::kOk);
  EXPECT_EQ(SettingsCode({}, {{"CARDAMOM_THREADS", "4 cores"}}), ResultCode::kBadSetting);
  for (const auto& setting : NumberSettings()) {
    const auto flag = "--" + std::string(setting.name);
    EXPECT_EQ(SettingsCode({flag, std::to_string(setting.max + 1)}), ResultCode::kBadSetting);
    EXPECT_EQ(SettingsCode({flag, "ten"}), ResultCode::kBadSetting);
  }
}

// TRANSACTION IDS AND EVENT TIMELINE

TEST(TransactionIdTest, ContainsOwnerAndIsUnique) {
  const auto a = NewTransactionId(VmId("vm7"));
  EXPECT_EQ(OwnerOf(a), VmId("vm7"));
  EXPECT_NE(a, NewTransactionId(VmId("vm7")));
  EXPECT_FALSE(OwnerOf(TransactionId("nonsense")));
  EXPECT_FALSE(OwnerOf(TransactionId("~1")));
}

TEST(TimelineTest, OrdersByHybridLogicalTime) {
  std::vector<Event> events = {
      {300, "b", 20, 0, "vm1", {}}, {301, "c", 20, 1, "vm0", {}}, {302, "a", 10, 5, "vm2", {}}};
  SortEvents(events);
  EXPECT_EQ(events[0].name, "a");
  EXPECT_EQ(events[1].name, "b");
  EXPECT_EQ(events[2].name, "c");
}

TEST(TimelineTest, HtmlEscapesWhatItShows) {
  Event event{300, "x", 1, 0, "<vm>", {}};
  event.subject.detail = "<script>";
  const auto page = TimelineHtml({event});
  EXPECT_EQ(page.find("<script>"), std::string::npos);
  EXPECT_NE(page.find("&lt;vm&gt;"), std::string::npos);
}

}  // namespace
}  // namespace cardamom
