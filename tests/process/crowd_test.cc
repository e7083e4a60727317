// Crowds of callers that send much, send or read slowly, or stop half-way. Checked is that the
// process stays alive, that its memory and descriptors stay within its settings, and that an
// ordinary request is answered.
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <regex>
#include <thread>

#include <fmt/format.h>

#include "bench/cluster/cluster.h"
#include "crowd_clients.h"
#include "crowd_gateway.h"
#include "fleet/peer_messages.h"

namespace cardamom {
namespace {

constexpr std::size_t kMemoryMb = 48;
constexpr std::size_t kOrdinaryMemoryMb = 512;
// At this setting 200 connections of callers are accepted.
constexpr std::size_t kMaxFiles = 700;
constexpr std::size_t kCrowd = 60;
constexpr std::size_t kLargeCrowd = 100;
constexpr std::size_t kLegalBytes = (1 << 20) - 200;
constexpr std::size_t kHalfBytes = 900 << 10;
constexpr std::size_t kFarOverLimitBytes = 8 << 20;
constexpr std::size_t kWhole = 64 << 20;
constexpr std::size_t kPieceBytes = 4 << 10;
constexpr Millis kAnswerTimeout{30'000};
constexpr Millis kLargeReplyTimeout{60'000};
// Time within which what was sent to loopback has been read, if it is read at all.
constexpr Millis kArrivalTime{2000};
// Time for which a crowd that does not read keeps its connections.
constexpr Millis kHoldTime{3000};
const std::string kGreeting = "CONNECT db key\r\n";

std::string Text(std::size_t bytes) {
  return std::string(bytes, 'x');
}

std::string Put(std::size_t bytes) {
  return "QUERY id PUT item " + Text(bytes) + "\r\n";
}

std::string HttpPost(const std::string& path, const std::string& body, std::size_t length) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
      "\r\n{}",
      path, length, body);
}

// Checks of a process that must hold whatever its callers do.
void ExpectWithinBounds(pid_t pid, std::size_t memory_mb, std::size_t max_files) {
  ASSERT_EQ(kill(pid, 0), 0) << "the process has ended";
  const auto peak = PeakMemoryMb(pid);
  const auto descriptors = OpenDescriptors(pid);
  std::printf("peak %zu MB, %zu descriptors\n", peak, descriptors);
  EXPECT_LE(peak, memory_mb);
  EXPECT_LE(descriptors, max_files);
}

class GatewayCrowdTest : public testing::Test {
 protected:
  void ExpectServing() {
    const auto pid = m_gateway.process().pid();
    EXPECT_TRUE(m_gateway.AnswersARequest(kAnswerTimeout));
    ExpectWithinBounds(pid, kMemoryMb, kMaxFiles);
  }

  // Sends `text` on each connection of a crowd of callers with open sessions.
  void RunSessions(std::size_t count, const std::string& text, std::size_t piece_bytes) {
    Crowd crowd(m_gateway.sessions(), count);
    crowd.Send(kGreeting, kWhole);
    crowd.Send(text, piece_bytes);
    crowd.Drain();
    ExpectServing();
  }

  // Sends requests with bodies of every kind to an HTTP address.
  void RunHttp(const Address& address, const std::string& path, const std::string& legal_body) {
    const auto legal = HttpPost(path, legal_body, legal_body.size());
    const auto half = HttpPost(path, legal_body.substr(0, kHalfBytes), legal_body.size());
    const auto over = HttpPost(path, Text(kFarOverLimitBytes), kFarOverLimitBytes);
    for (const auto* text : {&legal, &half, &over}) {
      for (const auto piece_bytes : {kWhole, kPieceBytes}) {
        Crowd crowd(address, kCrowd);
        crowd.Send(*text, piece_bytes);
        std::this_thread::sleep_for(kArrivalTime);
        ExpectServing();
        crowd.Drain();
      }
    }
    ExpectServing();
  }

  GatewayUnderTest m_gateway{kMemoryMb, kMaxFiles};
};

// Guard against input of callers that grows without a bound over all connections.
TEST_F(GatewayCrowdTest, WholeMessagesOfLegalSize) {
  RunSessions(kCrowd, Put(kLegalBytes), kWhole);
}

TEST_F(GatewayCrowdTest, MessagesOfLegalSizeInSmallPieces) {
  RunSessions(kCrowd, Put(kLegalBytes), kPieceBytes);
}

TEST_F(GatewayCrowdTest, MessagesFarOverTheLimit) {
  RunSessions(kCrowd, Put(kFarOverLimitBytes), kWhole);
}

TEST_F(GatewayCrowdTest, FirstLinesFarOverTheLimit) {
  Crowd crowd(m_gateway.sessions(), kCrowd);
  crowd.Send("CONNECT db " + Text(kFarOverLimitBytes) + "\r\n", kWhole);
  ExpectServing();
}

TEST_F(GatewayCrowdTest, SendersThatStopBeforeTheGreetingIsComplete) {
  Crowd crowd(m_gateway.sessions(), kLargeCrowd);
  crowd.Send("CONNECT db " + Text(kHalfBytes), kPieceBytes);
  std::this_thread::sleep_for(kArrivalTime);
  ExpectServing();
}

TEST_F(GatewayCrowdTest, SendersThatStopWithinAStatement) {
  Crowd crowd(m_gateway.sessions(), kLargeCrowd);
  crowd.Send(kGreeting, kWhole);
  crowd.Send("QUERY id PUT item " + Text(kHalfBytes), kPieceBytes);
  std::this_thread::sleep_for(kArrivalTime);
  ExpectServing();
}

// Guards against replies or statements that pile up for a caller that does not read.
TEST_F(GatewayCrowdTest, StatementsSentAheadWithRepliesUnread) {
  std::string statements;
  for (int i = 0; i < 200; ++i) {
    statements += "QUERY id FETCH rows-10-10000\r\n" + Put(20'000);
  }
  Crowd crowd(m_gateway.sessions(), kCrowd);
  crowd.Send(kGreeting, kWhole);
  crowd.Send(statements, kWhole);
  ExpectServing();
}

// Guards against results that are held in full for callers that do not read them.
TEST_F(GatewayCrowdTest, SlowReadersOfResults) {
  Crowd crowd(m_gateway.sessions(), 12);
  crowd.Send(kGreeting, kWhole);
  crowd.Send("QUERY id FETCH rows-80-100000\r\n", kWhole);
  std::this_thread::sleep_for(kHoldTime);
  ExpectServing();
}

TEST_F(GatewayCrowdTest, SlowReadersOfLargeResults) {
  Crowd crowd(m_gateway.sessions(), 3);
  crowd.Send(kGreeting, kWhole);
  crowd.Send("QUERY id FETCH rows-400-100000\r\n", kWhole);
  std::this_thread::sleep_for(kHoldTime);
  ExpectServing();
}

// Guards against state of sessions that grows without a bound.
TEST_F(GatewayCrowdTest, LargeSessionValues) {
  std::string statements;
  for (int i = 0; i < 4; ++i) {
    statements += fmt::format("QUERY id SET value{} {}\r\n", i, Text(kHalfBytes));
  }
  RunSessions(40, statements, kWhole);
}

TEST_F(GatewayCrowdTest, ManyPreparedNames) {
  std::string statements;
  for (int i = 0; i < 50'000; ++i) {
    statements += fmt::format("QUERY id PARSE name{} FETCH shape\r\n", i);
  }
  RunSessions(8, statements, kWhole);
}

TEST_F(GatewayCrowdTest, BodiesOnThePeersAddress) {
  PeerStatement statement;
  statement.operation = static_cast<int>(PeerOperation::kWrite);
  statement.from = "vm1";
  statement.group = "g";
  statement.id = "id";
  statement.kind = 5;
  statement.text = "PUT item " + Text(kLegalBytes - 1000);
  statement.left_ms = 5000;
  RunHttp(m_gateway.peers(), kPeerStatementPath, EncodeJson(statement));
}

TEST_F(GatewayCrowdTest, BodiesOnTheReadinessAddress) {
  RunHttp(m_gateway.readiness(), "/cardamomhub/ready", Text(kLegalBytes));
}

TEST_F(GatewayCrowdTest, BodiesOnTheMetricsAddress) {
  RunHttp(m_gateway.metrics(), "/metrics", Text(kLegalBytes));
}

// Guards against responses that pile up for a client that does not read them.
TEST_F(GatewayCrowdTest, RequestsSentAheadOnTheMetricsAddress) {
  std::string requests;
  for (int i = 0; i < 1000; ++i) {
    requests += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  Crowd crowd(m_gateway.metrics(), kLargeCrowd);
  crowd.Send(requests, kWhole);
  ExpectServing();
}

// Guards against connections that use up the descriptors needed for servers, store and peers.
TEST_F(GatewayCrowdTest, ManyConnectionsOnEveryAddress) {
  {
    constexpr std::size_t kConnections = 400;
    Crowd sessions(m_gateway.sessions(), kConnections);
    Crowd readiness(m_gateway.readiness(), kConnections);
    Crowd peers(m_gateway.peers(), kConnections);
    Crowd metrics(m_gateway.metrics(), kConnections);
    std::this_thread::sleep_for(kHoldTime);
    ExpectWithinBounds(m_gateway.process().pid(), kMemoryMb, kMaxFiles);
  }
  ExpectServing();
}

class HttpFrontCrowdTest : public testing::Test {
 protected:
  static constexpr std::size_t kFrontMemoryMb = 64;

  HttpFrontCrowdTest() {
    // As variables, which the front ignores if it has no such settings.
    setenv("CARDAMOM_MEMORY_MB", std::to_string(kFrontMemoryMb).c_str(), 1);
    setenv("CARDAMOM_MAX_FILES", std::to_string(kMaxFiles).c_str(), 1);
    m_cluster = std::make_unique<Cluster>(ClusterProfile{.proxies = 1, .servers_per_group = 1});
    unsetenv("CARDAMOM_MEMORY_MB");
    unsetenv("CARDAMOM_MAX_FILES");
    m_cluster->AddGroup("g");
  }

  void ExpectServing() {
    auto& proxy = m_cluster->proxy(0);
    const auto deadline = Clock::now() + kAnswerTimeout;
    bool answered = false;
    while (!answered && Clock::now() < deadline) {
      const auto reply =
          SendOnce(proxy.caller_address, "POST", "/v1/groups/g/read", R"({"sql":"SELECT 1"})");
      answered = reply && reply->status == 200;
    }
    EXPECT_TRUE(answered);
    ExpectWithinBounds(proxy.process->pid(), kFrontMemoryMb, kMaxFiles);
  }

  std::unique_ptr<Cluster> m_cluster;
};

// Guards against bodies that fill the memory of the HTTP front.
TEST_F(HttpFrontCrowdTest, BodiesOnTheCallersAddress) {
  const auto body = R"({"sql":"SELECT ')" + Text(kLegalBytes - 100) + R"('"})";
  const std::string path = "/v1/groups/g/read";
  const auto& address = m_cluster->proxy(0).caller_address;
  for (const auto& text :
       {HttpPost(path, body, body.size()), HttpPost(path, body.substr(0, kHalfBytes), body.size()),
        HttpPost(path, Text(kFarOverLimitBytes), kFarOverLimitBytes)}) {
    for (const auto piece_bytes : {kWhole, kPieceBytes}) {
      Crowd crowd(address, kCrowd);
      crowd.Send(text, piece_bytes);
      std::this_thread::sleep_for(kArrivalTime);
      ExpectServing();
    }
  }
}

// Guards against connections of callers that use up the descriptors of the HTTP front.
TEST_F(HttpFrontCrowdTest, ManyConnectionsOfCallers) {
  {
    Crowd crowd(m_cluster->proxy(0).caller_address, 900);
    std::this_thread::sleep_for(kHoldTime);
    ExpectWithinBounds(m_cluster->proxy(0).process->pid(), kFrontMemoryMb, kMaxFiles);
  }
  ExpectServing();
}

// Guard against limits that refuse what is legal while nobody misuses the gateway.
TEST(GatewayCalmTest, AMessageOfOneMebibyteIsServed) {
  GatewayUnderTest gateway(kOrdinaryMemoryMb, kMaxFiles);
  Caller caller(gateway.sessions());
  ASSERT_FALSE(caller.Ask("CONNECT db key", kAnswerTimeout).empty());
  const auto reply = caller.Ask("QUERY id PUT item " + Text(kLegalBytes), kLargeReplyTimeout);
  EXPECT_EQ(reply.rfind("COMPLETE ", 0), 0U) << reply.substr(0, 100);
}

TEST(GatewayCalmTest, AResultOf40MegabytesIsServed) {
  GatewayUnderTest gateway(kOrdinaryMemoryMb, kMaxFiles);
  Caller caller(gateway.sessions());
  ASSERT_FALSE(caller.Ask("CONNECT db key", kAnswerTimeout).empty());
  const auto reply = caller.Ask("QUERY id FETCH rows-400-100000", kLargeReplyTimeout);
  EXPECT_GT(reply.size(), 40'000'000U);
  constexpr std::size_t kEndBytes = 60;
  const auto end = reply.substr(reply.size() - kEndBytes);
  EXPECT_TRUE(std::regex_search(end, std::regex("COMPLETE sig-[0-9]+\r\n"))) << end;
}

}  // namespace
}  // namespace cardamom
