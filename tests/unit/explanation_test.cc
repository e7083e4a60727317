// Tests that the logs of a run are enough to explain the outcome of a request.
#include "tools/ctl/explanation.h"

#include <gtest/gtest.h>

#include <sstream>

#include "async/notifier.h"
#include "async/spawn.h"
#include "fleet_fakes.h"
#include "tools/ctl/log_reader.h"

namespace cardamom::testing {
namespace {

class ExplanationTest : public ::testing::Test {
 protected:
  // Writes the events of all proxies as log lines, each preceded by a time and a VM id as log
  // collectors do, and an incomplete last line. Explains `request` from them.
  Explanation ExplainFromLogs(const std::string& request) {
    std::stringstream lines;
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
      for (const auto& event : m_fleet.vm(i).gateway->events().Snapshot()) {
        lines << "  12.5 " << m_fleet.vm(i).settings.vm_id << " " << EncodeJson(event) << "\n";
      }
    }
    lines << "{\"code\":405,\"na";
    auto log = ReadLogLines(lines);
    EXPECT_EQ(log.skipped_lines, 1U);
    return Explain(std::move(log.events), request);
  }

  bool HasContext(const Explanation& explanation, EventCode code) {
    return std::any_of(explanation.context_events.begin(), explanation.context_events.end(),
                       [code](const Event& event) { return event.code == static_cast<int>(code); });
  }

  FakeFleet m_fleet{6, 2, 1};
};

TEST_F(ExplanationTest, ExplainsReadThatNoServerAnswered) {
  for (std::size_t i = 0; i < 3; ++i) {
    m_fleet.fake_group.server(i).unresponsive = true;
  }
  const auto replies = m_fleet.Execute(*m_fleet.NonHomes().front(), {MakeRead("r-lost", "a")});
  ASSERT_FALSE(replies[0].ok());
  const auto explanation = ExplainFromLogs("r-lost");
  EXPECT_NE(explanation.cause.find("refused, nothing is kept"), std::string::npos);
  EXPECT_TRUE(HasContext(explanation, EventCode::kEndpointUnreachable));
  EXPECT_FALSE(explanation.next_step.empty()) << FormatExplanation(explanation);
}

TEST_F(ExplanationTest, ExplainsWriteWithUnknownOutcome) {
  ASSERT_TRUE(m_fleet.Execute(*m_fleet.NonHomes().front(), {MakeWrite("w0", "a")})[0].ok());
  m_fleet.fake_group.server(0).unresponsive = true;
  const auto replies = m_fleet.Execute(*m_fleet.NonHomes().front(), {MakeWrite("w-lost", "a")});
  ASSERT_FALSE(replies[0].ok());
  ASSERT_EQ(replies[0].error->code, StatementError::kInDoubt);
  const auto explanation = ExplainFromLogs("w-lost");
  EXPECT_NE(explanation.cause.find("unknown: the write or commit was sent"), std::string::npos)
      << explanation.cause;
  EXPECT_TRUE(HasContext(explanation, EventCode::kEndpointUnreachable));
}

TEST_F(ExplanationTest, ExplainsRequestRefusedUnderLoad) {
  for (std::size_t i = 0; i < 3; ++i) {
    m_fleet.fake_group.server(i).statement_duration = Millis(250);
  }
  auto& vm = *m_fleet.NonHomes().front();
  std::string refused;
  std::size_t done = 0;
  constexpr std::size_t kCallers = 60;
  m_fleet.Run([&]() -> asio::awaitable<void> {
    for (std::size_t i = 0; i < kCallers; ++i) {
      Spawn(m_fleet.io, [&, i]() -> asio::awaitable<void> {
        const DatabaseName database{"depot"};
        auto opened = co_await vm.gateway->sessions().Open(database);
        const auto session = std::get<std::shared_ptr<CallerSession>>(opened);
        const auto id = "load-" + std::to_string(i);
        const auto reply = co_await session->Execute(MakeWrite(id, "a"));
        if (!reply.ok() && GuaranteesNoEffect(reply.error->code)) {
          refused = id;
        }
        co_await vm.gateway->sessions().Close(session);
        ++done;
      });
    }
    while (done < kCallers) {
      co_await Sleep(Millis(5));
    }
  });
  ASSERT_FALSE(refused.empty());
  const auto explanation = ExplainFromLogs(refused);
  EXPECT_NE(explanation.cause.find("refused, nothing is kept"), std::string::npos);
  EXPECT_NE(explanation.next_step.find("405 of that server"), std::string::npos)
      << explanation.cause;
}

TEST_F(ExplanationTest, NamesServerOfAnsweredRequestAndFindsNoEventOfUnknownRequest) {
  m_fleet.Execute(*m_fleet.NonHomes().front(), {MakeWrite("w1", "a")});
  EXPECT_EQ(ExplainFromLogs("w1").cause.rfind("answered by e0", 0), 0U);
  EXPECT_EQ(FormatExplanation(ExplainFromLogs("never")), "no event names this request\n");
}

}  // namespace
}  // namespace cardamom::testing
