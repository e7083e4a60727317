// Tests of entries that another writer left among those of the servers: they name no server, and
// everything else goes on.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "directory/server_list.h"
#include "fleet_fakes.h"
#include "platform/directory_decoders.h"
#include "proxy/config_follower.h"

namespace cardamom::testing {
namespace {

namespace json = boost::json;

constexpr Millis kFollowLimit{4000};

json::object GoodEntry() {
  return {{"service", "orders"},
          {"address", "10.0.0.1:5000"},
          {"zone", "domain-1"},
          {"version", "v1"},
          {"slots", 5},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"db_role", "replica"},
          {"seq", 4},
          {"born", 1'764'950'000'000}};
}

std::string With(const char* name, json::value value) {
  auto entry = GoodEntry();
  entry[name] = std::move(value);
  return json::serialize(entry);
}

// As With, for a value that is given as JSON text.
std::string WithText(const char* name, const std::string& text) {
  auto entry = GoodEntry();
  entry.erase(name);
  auto serialized = json::serialize(entry);
  serialized.pop_back();
  return serialized + ",\"" + name + "\":" + text + "}";
}

std::string Without(const char* name) {
  auto entry = GoodEntry();
  entry.erase(name);
  return json::serialize(entry);
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> OddEntries() {
  std::vector<std::string> odd = {
      "{",
      "[]",
      "null",
      "\xff\xfe\x00",
      std::string(3, '\0'),
      Nested(100'000),
      std::string(100'000, '{'),
      WithText("zone", Nested(50'000)),
      WithText("extra", Nested(50'000)),
      With("address", "10.0.0.1:70000"),
      With("address", "10.0.0.1:-1"),
      With("address", "10.0.0.1:0"),
      With("address", "10.0.0.1:99999999999999999999"),
      With("address", "10.0.0.1"),
      With("address", "nowhere:80"),
      With("address", ""),
      With("address", 5000),
      With("state", "odd"),
      With("db_role", "odd"),
      With("slots", 0),
      With("slots", -1),
      With("slots", "5"),
      With("service", nullptr),
      With("version", 1),
  };
  for (const auto* name : {"slots", "seq", "born", "cold_left_ms"}) {
    for (const auto* number :
         {"1e300", "-1e300", "1e999", "9223372036854775808", "9223372036854775808.0",
          "18446744073709551615", "18446744073709551616", "-1", "0.5", "true", "[]"}) {
      odd.push_back(WithText(name, number));
    }
  }
  for (const auto* name : {"service", "address", "zone", "version", "slots", "state",
                           "cold_left_ms", "db_role", "seq"}) {
    odd.push_back(Without(name));
  }
  return odd;
}

// Guards against odd entries that end the process, or that count as a server.
TEST(OddEntryTest, DecoderAcceptsNoOddEntry) {
  const auto decoders = platform::MakeDirectoryDecoders();
  EXPECT_TRUE(decoders.server("i-1", json::serialize(GoodEntry())));
  EXPECT_TRUE(decoders.server("i-1", WithText("slots", "5.0")));
  EXPECT_TRUE(decoders.server("i-1", Without("born")));
  EXPECT_TRUE(decoders.server("i-1", With("later", "field")));
  for (const auto& text : OddEntries()) {
    EXPECT_FALSE(decoders.server("i-1", text)) << text.substr(0, 200);
  }
}

// Guards against ids that add fields or lines to what is sent to a server.
TEST(OddEntryTest, DecoderAcceptsNoIdThatIsNoWord) {
  const auto decoders = platform::MakeDirectoryDecoders();
  const auto text = json::serialize(GoodEntry());
  for (const std::string id : {"", "i 1", "i-1\r\nQUERY - PAUSE 9", "i-1\n", "\t"}) {
    EXPECT_FALSE(decoders.server(id, text)) << id;
  }
}

// Guards against numbers of the configuration that overflow when they are added to a time.
TEST(OddEntryTest, DurationsOfTheConfigurationAreBounded) {
  const auto decoders = platform::MakeDirectoryDecoders();
  const auto configuration = decoders.configuration(
      R"({"version":7,"routes":[{"host":"h","service":"s","kind":"primary","timeout_ms":1e300,
          "max_staleness_ms":9223372036854775807,"priority":1e300}],"services":[],
          "limits":{"tx_idle_ms":-5}})");
  ASSERT_TRUE(configuration);
  const auto& route = configuration->routes.at(DatabaseName("h"));
  EXPECT_EQ(route.statement_timeout, Route().statement_timeout);
  EXPECT_LE(route.max_staleness, std::chrono::hours(24));
  EXPECT_GE(configuration->transaction_idle_limit, Millis(0));
}

RC_GTEST_PROP(OddEntryProperty, NoTextEndsTheDecoder, ()) {
  const auto decoders = platform::MakeDirectoryDecoders();
  auto text = json::serialize(GoodEntry());
  const auto changes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < changes; ++i) {
    const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
    text.replace(place, 1, *rc::gen::string<std::string>());
    text += ' ';
  }
  decoders.server(*rc::gen::string<std::string>(), text);
  decoders.configuration(text);
}

// Guards against a server that counts as restarted because another writer's entry, which does not
// tell the start, replaced its own.
TEST(OddEntryTest, EntryWithoutAStartReplacesNoEntryWithOne) {
  ServerList list(Millis(2200));
  EndpointEntry entry;
  entry.id = EndpointId("i-1");
  entry.started_ms = 5;
  const auto now = Clock::now();
  list.OnEntries({entry}, now);
  auto odd = entry;
  odd.started_ms = 0;
  list.OnEntries({odd}, now + Millis(10));
  ASSERT_EQ(list.Entries().size(), 1U);
  EXPECT_EQ(list.Entries().front().started_ms, 5);
  list.OnEntries({odd}, now + Millis(3000));
  EXPECT_TRUE(list.Entries().empty());
}

// Guards against a record of another writer that keeps the HTTP front from following the
// configuration.
TEST(OddEntryTest, RecordsBesideAnOddOneAreFollowed) {
  for (const auto& text : OddEntries()) {
    TableReadAnswer answer;
    const StoredRecord good{GroupId("g"), Revision(3), "change", "text"};
    answer.rows = {{"record/g", 1, EncodeJson(good)},
                   {"record/odd", 2, text},
                   {kRevisionKey, 3, R"({"revision":3})"}};
    const auto snapshot = DecodeSnapshot(answer);
    ASSERT_TRUE(snapshot) << text.substr(0, 200);
    ASSERT_EQ(snapshot->records.size(), 2U);
    EXPECT_EQ(snapshot->records[0].record, "text");
    EXPECT_EQ(snapshot->records[1].group, GroupId("odd"));
    EXPECT_EQ(snapshot->records[1].record, "");
  }
}

class OddEntryFleetTest : public ::testing::Test {
 protected:
  bool AllServe(const std::string& prefix) {
    bool all = true;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      const auto id = prefix + std::to_string(i);
      const auto replies =
          m_fleet.Execute(m_fleet.vm(i), {MakeWrite("w-" + id, "a"), MakeRead("r-" + id, "a")});
      all = all && replies[0].ok() && replies[1].ok();
    }
    return all;
  }

  // Whether every home lists the server `id` as leaving.
  bool FollowsLeaving(const std::string& id) {
    const auto homes = m_fleet.Homes();
    return std::all_of(homes.begin(), homes.end(), [&](FakeVm* home) {
      const auto events = home->Events(EventCode::kEndpointLeaving);
      return std::any_of(events.begin(), events.end(),
                         [&](const Event& event) { return event.subject.endpoint.value() == id; });
    });
  }

  // Relays that read the store, and proxies that get the rows from them.
  FakeFleet m_fleet{6, 2, 32};
};

// Guards against proxies that end, or stop following the list, because of one odd entry in it.
TEST_F(OddEntryFleetTest, ListIsFollowedBesideOddEntries) {
  int count = 0;
  for (const auto& text : OddEntries()) {
    m_fleet.table.Put("servers", "odd-" + std::to_string(count++), text);
  }
  m_fleet.table.Put("servers", "i-1\r\nQUERY - PAUSE 9", json::serialize(GoodEntry()));
  EXPECT_TRUE(AllServe("a"));
  m_fleet.fake_group.server(2).entry.leaving = true;
  m_fleet.table.Put("servers", "e2", "");
  EXPECT_TRUE(m_fleet.RunUntil([this] { return FollowsLeaving("e2"); }, kFollowLimit));
  EXPECT_TRUE(AllServe("b"));
  // A proxy that starts reads the odd entries too.
  auto& started = m_fleet.Add("domain-0", "");
  EXPECT_TRUE(m_fleet.RunUntil([&] { return started.gateway->IsReady(); }, kFollowLimit));
}

// As above, for an odd entry that replaces a server's own: the others go on, and the server returns
// with its next entry.
TEST_F(OddEntryFleetTest, OddEntryThatReplacesAGoodOneNamesNoServer) {
  for (const auto& text :
       {Nested(100'000), WithText("born", "1e300"), With("address", "1:70000")}) {
    m_fleet.table.Put("servers", "e1", text);
    const auto dropped_before = m_fleet.vm(0).Events(EventCode::kEndpointDropped).size();
    EXPECT_TRUE(m_fleet.RunUntil(
        [&] { return m_fleet.vm(0).Events(EventCode::kEndpointDropped).size() > dropped_before; },
        kFollowLimit));
    EXPECT_TRUE(AllServe("a" + std::to_string(text.size())));
    const auto listed_before = m_fleet.vm(0).Events(EventCode::kEndpointListed).size();
    m_fleet.table.Put("servers", "e1", "");
    EXPECT_TRUE(m_fleet.RunUntil(
        [&] { return m_fleet.vm(0).Events(EventCode::kEndpointListed).size() > listed_before; },
        kFollowLimit));
  }
}

}  // namespace
}  // namespace cardamom::testing
