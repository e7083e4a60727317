// Names under which statements are prepared on a link.
#include <gtest/gtest.h>

#include <random>

#include "gateway/statement_batch.h"

namespace cardamom::testing {
namespace {

// A link and the names that its server keeps for it.
class PreparedNamesTest : public ::testing::Test {
 protected:
  // Executes `shape` and returns the shape that the server runs, empty if the batch is refused.
  std::string Execute(const std::string& shape, bool in_transaction, SessionValues values = {}) {
    CallerState caller;
    caller.values = std::move(values);
    caller.prepared["s"] = {Access::kWrite, shape};
    Statement execute;
    execute.kind = StatementKind::kExecute;
    execute.name = "s";
    auto batch = BuildSetupBatch(m_link, caller, &execute, in_transaction);
    if (batch.exceeds_names) {
      return "";
    }
    Apply(batch);
    return m_server[ToRequest(execute, caller, batch).name];
  }

  void BeginTransaction() { Apply(BuildSetupBatch(m_link, {}, nullptr, false)); }

  void Apply(const StatementBatch& batch) {
    for (const auto& request : batch.requests) {
      if (request.operation == EndpointOperation::kDiscard) {
        m_server.clear();
      } else if (request.operation == EndpointOperation::kPrepare) {
        EXPECT_TRUE(m_server.emplace(request.name, request.value).second);
      }
    }
    BatchReply answer;
    answer.replies.resize(batch.requests.size());
    EXPECT_TRUE(UpdateLinkState(batch, answer, m_link));
    EXPECT_LE(m_server.size(), PreparedNames::kMaxNames);
  }

  PooledLink m_link;
  std::map<std::string, std::string> m_server;
};

// Guards against an execution that runs another caller's statement because both have one name, as
// with names that are a hash of the shape: two shapes can be chosen to have the same XXH64.
TEST_F(PreparedNamesTest, ANameIsNotAFunctionOfTheShape) {
  EXPECT_EQ(Execute("shape-a", false), "shape-a");
  EXPECT_EQ(Execute("shape-b", false), "shape-b");
  const auto first = *m_link.prepared.Find({Access::kWrite, "shape-a"});
  EXPECT_NE(first, *m_link.prepared.Find({Access::kWrite, "shape-b"}));
  m_link = PooledLink();
  m_server.clear();
  EXPECT_EQ(Execute("shape-b", false), "shape-b");
  EXPECT_EQ(*m_link.prepared.Find({Access::kWrite, "shape-b"}), first);
}

// Guards against a wrong or unknown name after the link was cleared, by other session values or
// because it was full, and against a link that holds any number of names.
TEST_F(PreparedNamesTest, ExecutionsRunTheirOwnShapeHoweverManyThereAre) {
  std::mt19937 random(7);
  for (int i = 0; i < 5000; ++i) {
    const auto shape = std::to_string(random() % 400);
    const SessionValues values{{"region", random() % 200 == 0 ? "north" : "south"}};
    ASSERT_EQ(Execute(shape, false, values), shape);
  }
}

// Guards against a transaction that clears its own session values, that exceeds the limit, or that
// finds no free name because of statements before it.
TEST_F(PreparedNamesTest, ATransactionFindsHalfOfTheNamesFreeAndIsRefusedBeyondThem) {
  for (std::size_t i = 0; i < PreparedNames::kMaxNames; ++i) {
    Execute("before-" + std::to_string(i), false);
  }
  BeginTransaction();
  std::size_t executed = 0;
  while (executed < 1000 && !Execute("shape-" + std::to_string(executed), true).empty()) {
    ++executed;
  }
  EXPECT_GE(executed, PreparedNames::kMaxNames / 2);
  EXPECT_EQ(m_server.size(), PreparedNames::kMaxNames);
  EXPECT_EQ(Execute("shape-0", true), "shape-0");
}

}  // namespace
}  // namespace cardamom::testing
