// Checks with real processes that an accepted change of a group record reaches every proxy in time
// and that no proxy returns to an older revision, also while the store or a proxy fails.
#include <gtest/gtest.h>

#include <thread>

#include "bench/cluster/cluster.h"
#include "bench/cluster/session.h"

namespace cardamom {
namespace {

// Target for the time until an accepted change applies at every proxy.
constexpr Millis kPropagationTarget{3000};
constexpr Millis kWaitTimeout{10'000};

class ConfigTest : public testing::Test {
 protected:
  ConfigTest() : m_cluster({.proxies = 6, .servers_per_group = 3, .domains = 2}) {
    m_cluster.AddGroup("g");
  }

  // Waits until every proxy has loaded `revision` or a greater one. Returns false after `timeout`.
  bool WaitForRevisionEverywhere(std::uint64_t revision, Millis timeout) {
    const auto deadline = Clock::now() + timeout;
    for (std::size_t i = 0; i < m_cluster.proxy_count(); ++i) {
      const auto remaining = std::max(Millis(1), ToMillis(deadline - Clock::now()));
      if (!m_cluster.WaitForStatus(
              i,
              [revision](const ProxyStatus& status) { return status.revision.value() >= revision; },
              remaining)) {
        return false;
      }
    }
    return true;
  }

  // A replacement of the record at `expected_revision`, with `max_read_age_ms` as its greatest read
  // age.
  RecordChangeMessage MakeReplacement(std::uint64_t expected_revision,
                                      std::uint32_t max_read_age_ms) {
    auto record = m_cluster.RecordOf("g");
    record.max_read_age_ms = max_read_age_ms;
    RecordChangeMessage message;
    message.action = "replace";
    message.group = record.group;
    message.expected = Revision(expected_revision);
    message.record = FormatRecord(record);
    return message;
  }

  Cluster m_cluster;
};

TEST_F(ConfigTest, AcceptedChangesApplyAtEveryProxy) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    ASSERT_EQ(
        m_cluster.SendRecordChange(MakeReplacement(i, 1000 + static_cast<std::uint32_t>(i)), i)
            .status,
        200);
    EXPECT_TRUE(WaitForRevisionEverywhere(i + 1, kPropagationTarget));
  }
}

TEST_F(ConfigTest, OneOfConcurrentChangesIsAccepted) {
  for (std::uint64_t round = 1; round <= 5; ++round) {
    std::vector<int> statuses(4);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      operators.emplace_back([&, i] {
        statuses[i] =
            m_cluster
                .SendRecordChange(MakeReplacement(round, 2000 + static_cast<std::uint32_t>(i)), i)
                .status;
      });
    }
    for (auto& thread : operators) {
      thread.join();
    }
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200), 1);
    EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 409), 3);
  }
}

TEST_F(ConfigTest, LostAnswerOfAReplaceIsResolved) {
  m_cluster.SetPlatformFaults(R"({"lose_answers":1})");
  const auto response = m_cluster.SendRecordChange(MakeReplacement(1, 1234));
  EXPECT_EQ(response.status, 200) << response.body;
  EXPECT_EQ(DecodeJson<RecordChangeAnswer>(response.body)->revision, Revision(2));
  EXPECT_TRUE(WaitForRevisionEverywhere(2, kPropagationTarget));
}

TEST_F(ConfigTest, AcceptedChangeReachesAllProxiesDuringAStoreOutage) {
  // The store becomes unavailable once one proxy has loaded the accepted change; the others can get
  // it only from their peers.
  ASSERT_EQ(m_cluster.SendRecordChange(MakeReplacement(1, 1500), 0).status, 200);
  ASSERT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return status.revision.value() == 2; }, kWaitTimeout));
  m_cluster.SetPlatformFaults(R"({"outage":true})");
  EXPECT_TRUE(WaitForRevisionEverywhere(2, kPropagationTarget));
  const auto refused = m_cluster.SendRecordChange(MakeReplacement(2, 1600), 1);
  EXPECT_EQ(refused.status, InfoOf(ResultCode::kPlatformUnavailable).http_status);
  EXPECT_EQ(DecodeJson<ProblemDetails>(refused.body)->ran, "no") << refused.body;
  for (std::size_t i = 0; i < m_cluster.proxy_count(); ++i) {
    EXPECT_TRUE(m_cluster.Status(i).ready) << i;
  }
}

// Guards against a confirmed change that is lost, and against a later one that is not in force
// because its revision was given out before: the store comes back from an older copy.
TEST_F(ConfigTest, ConfirmedChangesSurviveARestoreOfTheStore) {
  const auto admin = [&](const char* path) {
    ASSERT_EQ(SendOnce(m_cluster.platform_address(), "POST", path, "")->status, 200);
  };
  admin("/admin/copy");
  ASSERT_EQ(m_cluster.SendRecordChange(MakeReplacement(1, 1500)).status, 200);
  ASSERT_EQ(m_cluster.SendRecordChange(MakeReplacement(2, 1600)).status, 200);
  ASSERT_TRUE(WaitForRevisionEverywhere(3, kPropagationTarget));
  admin("/admin/restore");
  m_cluster.AddProxy("late");
  m_cluster.PublishVms();
  const auto next = m_cluster.SendRecordChange(MakeReplacement(3, 1700), 1);
  ASSERT_EQ(next.status, 200) << next.body;
  EXPECT_EQ(DecodeJson<RecordChangeAnswer>(next.body)->revision, Revision(4));
  EXPECT_TRUE(WaitForRevisionEverywhere(4, kPropagationTarget));
  TableReadRequest read;
  read.keys = {"record/g"};
  const auto rows = DecodeJson<TableReadAnswer>(
      SendOnce(m_cluster.platform_address(), "POST", "/v1/table/read", EncodeJson(read))->body);
  EXPECT_NE(rows->rows.at(0).value.find("1700"), std::string::npos);
}

TEST_F(ConfigTest, UnknownSchemaKeepsTheLastReadableRecord) {
  // A newer version of an operator's tool writes a record of an unsupported schema directly to the
  // table. The proxies must go on with the record that they have.
  StoredRecord stored;
  stored.group = GroupId("g");
  stored.revision = Revision(2);
  stored.record = R"({"schema":9,"group":"g","shape":"new"})";
  TableReadRequest read;
  read.keys = {kRevisionKey, "record/g"};
  const auto rows = DecodeJson<TableReadAnswer>(
      SendOnce(m_cluster.platform_address(), "POST", "/v1/table/read", EncodeJson(read))->body);
  TransactRequest change;
  change.expect = {{kRevisionKey, rows->rows.at(0).version},
                   {"record/g", rows->rows.at(1).version}};
  change.puts = {{kRevisionKey, EncodeJson(RevisionRow{Revision(2), {}})},
                 {"record/g", EncodeJson(stored)}};
  ASSERT_EQ(SendOnce(m_cluster.platform_address(), "POST", "/v1/table/transact", EncodeJson(change))
                ->status,
            200);
  ASSERT_TRUE(WaitForRevisionEverywhere(2, kPropagationTarget));
  Session session("g");
  const auto reply = session.Write(m_cluster.proxy(3).caller_address, "CREATE TABLE t (a)");
  EXPECT_TRUE(reply.ok()) << reply.body;
}

TEST_F(ConfigTest, RecordsOfBothSchemasAreServed) {
  m_cluster.AddEndpoint("old", "old-a");
  m_cluster.AddEndpoint("old", "old-b");
  m_cluster.AddEndpoint("old", "old-c");
  boost::json::array servers;
  for (const char* id : {"old-a", "old-b", "old-c"}) {
    servers.push_back({{"id", id}, {"address", m_cluster.endpoint(id).address.ToString()}});
  }
  RecordChangeMessage message;
  message.action = "submit";
  message.group = GroupId("old");
  message.record = boost::json::serialize(boost::json::object{
      {"schema", 1}, {"group", "old"}, {"servers", servers}, {"primary", "old-a"}});
  ASSERT_EQ(m_cluster.SendRecordChange(message).status, 200);
  ASSERT_TRUE(WaitForRevisionEverywhere(2, kPropagationTarget));
  Session session("old");
  EXPECT_TRUE(session.Write(m_cluster.proxy(1).caller_address, "CREATE TABLE t (a)").ok());
  EXPECT_TRUE(session.Read(m_cluster.proxy(2).caller_address, "SELECT count(*) FROM t").ok());
}

TEST_F(ConfigTest, ProxyWithoutStoreAndPeersBecomesNotReady) {
  m_cluster.SetPlatformFaults(R"({"cut":["vm0"]})");
  for (std::size_t i = 1; i < m_cluster.proxy_count(); ++i) {
    m_cluster.proxy(i).process->Suspend();
  }
  EXPECT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return !status.ready; }, Millis(15'000)));
  Session session("g");
  EXPECT_EQ(session.Read(m_cluster.proxy(0).caller_address, "SELECT 1").problem.code,
            static_cast<int>(ResultCode::kNotReady));
  for (std::size_t i = 1; i < m_cluster.proxy_count(); ++i) {
    m_cluster.proxy(i).process->Resume();
  }
  m_cluster.SetPlatformFaults("{}");
  EXPECT_TRUE(m_cluster.WaitForStatus(
      0, [](const ProxyStatus& status) { return status.ready; }, kWaitTimeout));
}

TEST_F(ConfigTest, ProxyStartedDuringAnOutageReadsFromPeers) {
  m_cluster.SetPlatformFaults(R"({"outage":true})");
  m_cluster.AddProxy("late");
  m_cluster.PublishVms();
  EXPECT_TRUE(m_cluster.WaitForStatus(
      m_cluster.proxy_count() - 1,
      [](const ProxyStatus& status) { return status.ready && status.revision.value() >= 1; },
      kWaitTimeout));
  Session session("g");
  const auto reply = session.Write(m_cluster.proxy(m_cluster.proxy_count() - 1).caller_address,
                                   "CREATE TABLE t (a)");
  EXPECT_TRUE(reply.ok()) << reply.body;
}

TEST_F(ConfigTest, ProxyStartedWithoutPlatformAndPeersIsNotReady) {
  m_cluster.SetPlatformFaults(R"({"outage":true,"list_outage":true})");
  auto& late = m_cluster.AddProxy("late");
  const auto ready = SendOnce(late.operations_address, "GET", "/readyz", "");
  EXPECT_EQ(ready->status, 503);
  m_cluster.SetPlatformFaults("{}");
  EXPECT_TRUE(m_cluster.WaitForStatus(
      m_cluster.proxy_count() - 1,
      [](const ProxyStatus& status) { return status.ready && status.revision.value() >= 1; },
      kWaitTimeout));
}

}  // namespace
}  // namespace cardamom
