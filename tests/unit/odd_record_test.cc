// Tests of malformed records, lists and answers that the HTTP front reads, and of capacities that
// no VM has: they name nothing, and everything else goes on.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "async/spawn.h"
#include "cardamom/group_record.h"
#include "config/config_state.h"
#include "http/http_server.h"
#include "membership/rendezvous.h"
#include "proxy/config_follower.h"
#include "proxy/record_service.h"
#include "settings/gateway_settings.h"
#include "standin/platform_server.h"

namespace cardamom::testing {
namespace {

constexpr Millis kLimit{2000};

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string RecordText(const std::string& group, const std::string& address) {
  return R"({"schema":2,"group":")" + group +
         R"(","endpoints":[{"id":"a","address":"127.0.0.1:1"},{"id":"b","address":)" + address +
         R"(}],"initial_primary":"a"})";
}

// Guards against an endpoint that no proxy can connect to.
TEST(OddRecordTest, AddressesWithoutAUsablePortAreRefused) {
  EXPECT_TRUE(ParseRecord(RecordText("g", R"("127.0.0.1:65535")")).record);
  for (const auto* address : {R"("127.0.0.1:0")", R"("127.0.0.1:00")", R"("127.0.0.1:65536")",
                              R"("127.0.0.1:-1")", R"("127.0.0.1:1e3")", R"("127.0.0.1: 80")",
                              R"("127.0.0.1:")", R"("[::1]:0")", "80", "{}"}) {
    const auto check = ParseRecord(RecordText("g", address));
    EXPECT_FALSE(check.record) << address;
    ASSERT_FALSE(check.problems.empty());
    EXPECT_EQ(check.problems.front().path, "/endpoints/1/address") << address;
  }
}

// Guards against deep nesting that ends the process, and against numbers out of range.
TEST(OddRecordTest, NestingAndNumbersOutOfRangeAreRefused) {
  for (const std::size_t depth : {30U, 1000U, 100'000U}) {
    EXPECT_FALSE(ParseRecord(RecordText("g", Nested(depth))).record) << depth;
  }
  for (const auto* number : {"-1", "0", "1e300", "1e999", "0.5", "18446744073709551615",
                             "18446744073709551616", "4294967297", "\"5\"", "[]"}) {
    auto text = RecordText("g", R"("127.0.0.1:2")");
    text.insert(text.size() - 1, std::string(",\"slots\":") + number);
    EXPECT_FALSE(ParseRecord(text).record) << number;
  }
}

// Guards against a group that takes over the record of another one.
TEST(OddRecordTest, ARecordOfAnotherGroupReplacesNone) {
  ConfigState state;
  const auto text = RecordText("g", R"("127.0.0.1:2")");
  state.Adopt({Revision(1), {{GroupId("g"), Revision(1), "c", text}}, StoreEra()});
  const auto other = RecordText("other", R"("127.0.0.1:3")");
  for (const auto& odd : {other, std::string("{"), std::string(), Nested(100'000)}) {
    const Revision next(state.revision().value() + 1);
    const auto result = state.Adopt({next, {{GroupId("g"), next, "c", odd}}, StoreEra()});
    EXPECT_EQ(result.unreadable_groups, std::vector<GroupId>{GroupId("g")});
    ASSERT_TRUE(state.records().contains(GroupId("g")));
    EXPECT_EQ(state.records().at(GroupId("g")).endpoints.at(1).address, "127.0.0.1:2");
  }
}

// The VMs that PlatformClient takes from an answer of the platform.
Outcome<std::vector<VmEntry>> ListVms(const std::string& body) {
  boost::asio::io_context io;
  HttpServerOptions options;
  options.listen_address = *Address::Parse("127.0.0.1:0");
  HttpServer::Handler handler = [&body](HttpRequest) -> asio::awaitable<HttpResponse> {
    HttpResponse response;
    response.body = body;
    co_return response;
  };
  const auto server = *HttpServer::Create(io, options, {std::move(handler), {}, {}});
  PlatformClient platform(io, server->address(), "vm-1");
  Outcome<std::vector<VmEntry>> vms =
      Error{ResultCode::kPlatformUnavailable, "no answer", Ran::kNo};
  Spawn(io, [&]() -> asio::awaitable<void> {
    auto answer = co_await platform.ListVms("", Clock::now() + kLimit);
    if (!answer) {
      vms = answer.error();
    } else if (answer->list) {
      vms = answer->list->vms;
    }
    io.stop();
  });
  io.run_for(2 * kLimit);
  return vms;
}

// Guards against one malformed entry that hides all VMs.
TEST(OddRecordTest, AVmListKeepsTheEntriesBesideAMalformedOne) {
  const std::string good = R"({"id":"vm-1","peer_address":"127.0.0.1:1","capacity":0.5})";
  for (const auto& odd :
       {std::string("null"), std::string("7"), std::string("{}"), std::string(R"({"id":5})"),
        std::string(R"({"id":"vm-2","capacity":"much"})"),
        std::string(R"({"id":"vm-2","leaving":"no"})"),
        R"({"id":"vm-2","domain":)" + Nested(500) + "}",
        std::string(R"({"id":"vm-1","peer_address":"127.0.0.1:9"})")}) {
    const auto vms = ListVms(R"({"vms":[)" + good + "," + odd + "]}");
    ASSERT_TRUE(vms) << odd;
    ASSERT_EQ(vms->size(), 1U) << odd;
    EXPECT_EQ(vms->front().peer_address, "127.0.0.1:1");
    // A list of which nothing is left must not replace the last one.
    if (odd.find("vm-1") == std::string::npos) {
      EXPECT_FALSE(ListVms(R"({"vms":[)" + odd + "]}")) << odd;
    }
  }
  EXPECT_TRUE(ListVms(R"({"vms":[]})"));
  EXPECT_FALSE(ListVms(Nested(100'000)));
}

// Guards against an answer of a peer that confirms a revision for times to come, or overflows.
TEST(OddRecordTest, AgesOfPeersAreBounded) {
  const auto now = Clock::now();
  const auto most = std::numeric_limits<std::int64_t>::max();
  EXPECT_EQ(ConfirmedAt({Revision(1), 250}, now), now - Millis(250));
  EXPECT_FALSE(ConfirmedAt({Revision(1), -1}, now));
  EXPECT_FALSE(ConfirmedAt({Revision(1), std::numeric_limits<std::int64_t>::min()}, now));
  const auto oldest = ConfirmedAt({Revision(1), most}, now);
  ASSERT_TRUE(oldest);
  EXPECT_LT(*oldest, now);
}

// Guards against a malformed row that no operator can replace any more.
TEST(OddRecordTest, AMalformedRowCanBeReplaced) {
  boost::asio::io_context io;
  auto server = *PlatformServer::Create(io, *Address::Parse("127.0.0.1:0"));
  PlatformClient platform(io, server->address(), "vm-1");
  Settings settings;
  EventLog events(VmId("vm-1"), 16);
  Metrics metrics;
  ProxyContext context{io, settings, events, metrics, "instance"};
  Membership membership(VmEntry{VmId("vm-1")});
  PeerClient peers(context);
  ConfigFollower config(context, platform, peers, membership, [] {});
  RecordService records(context, platform, config);
  std::vector<Outcome<Revision>> results;
  Spawn(io, [&]() -> asio::awaitable<void> {
    const auto text = RecordText("g", R"("127.0.0.1:2")");
    RecordChange submit{RecordAction::kSubmit, GroupId("g"), "c1", {}, text};
    results.push_back(co_await records.Apply(std::move(submit), Clock::now() + kLimit));
    TransactRequest odd;
    odd.puts.push_back({"record/g", "{\"group\":7"});
    co_await platform.Transact(std::move(odd), Clock::now() + kLimit);
    RecordChange replace{RecordAction::kReplace, GroupId("g"), "c2", Revision(0), text};
    results.push_back(co_await records.Apply(std::move(replace), Clock::now() + kLimit));
    io.stop();
  });
  io.run_for(3 * kLimit);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_TRUE(results[0]) << results[0].error().detail;
  EXPECT_TRUE(results[1]) << results[1].error().detail;
}

// Capacities.

// Guards against a VM that is a home of every group, or makes the order undefined.
TEST(OddCapacityTest, VmsWithoutAValidCapacityAreNotRanked) {
  constexpr auto kInfinity = std::numeric_limits<double>::infinity();
  std::vector<VmEntry> vms(4);
  for (std::size_t i = 0; i < vms.size(); ++i) {
    vms[i].id = VmId(std::to_string(i));
    vms[i].capacity = 0.17;
  }
  for (const double odd : {kInfinity, -kInfinity, std::nan(""), 0.0, -1.0, 1e9, 1e300}) {
    auto with_odd = vms;
    VmEntry vm;
    vm.id = VmId("odd");
    vm.capacity = odd;
    with_odd.insert(with_odd.begin() + 1, vm);
    EXPECT_EQ(RankVms(with_odd, "key"), RankVms(vms, "key")) << odd;
    EXPECT_EQ(ChooseHomes(with_odd, "key", 9).size(), vms.size()) << odd;
    EXPECT_EQ(ChooseRelays(with_odd, vms[0].domain, 9).size(), vms.size()) << odd;
  }
  for (const double fine : {1e-300, 0.084, 512.0}) {
    vms[1].capacity = fine;
    EXPECT_EQ(RankVms(vms, "key").size(), vms.size()) << fine;
  }
}

// Guards against a proxy that writes a capacity into its row that the others leave out.
TEST(OddCapacityTest, SettingsRefuseAnOddCapacity) {
  for (const std::string text : {"inf", "nan", "-1", "0", "1e300", "1e9", "much"}) {
    const auto read = GatewaySettings::Read({"--vm-id=a", "--domain=d", "--store=10.0.0.1:1",
                                             "--orders=10.0.0.2:1", "--capacity=" + text},
                                            [](const std::string&) { return std::nullopt; });
    EXPECT_FALSE(read) << text;
  }
}

}  // namespace
}  // namespace cardamom::testing
