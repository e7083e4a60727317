// Checks with real processes that each kind of invalid input is rejected with its own result code
// and reported as not run.
#include <gtest/gtest.h>

#include "bench/cluster/cluster.h"
#include "bench/cluster/session.h"

namespace cardamom {
namespace {

class CallerApiTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    s_cluster = std::make_unique<Cluster>(ClusterProfile{.proxies = 1});
    s_cluster->AddGroup("g");
  }
  static void TearDownTestSuite() { s_cluster.reset(); }

  // Sends a request that must be rejected without running. Returns the result code.
  ResultCode CodeOf(const std::string& method,
                    const std::string& target,
                    const std::string& body,
                    std::vector<HttpHeader> headers = {}) {
    const auto response =
        SendOnce(s_cluster->proxy(0).caller_address, method, target, body, std::move(headers));
    EXPECT_TRUE(response) << target;
    const auto problem = DecodeJson<ProblemDetails>(response->body);
    EXPECT_EQ(problem->ran, "no") << response->body;
    EXPECT_EQ(problem->status, response->status);
    return static_cast<ResultCode>(problem->code);
  }

  static inline std::unique_ptr<Cluster> s_cluster;
};

constexpr const char* kRead = "/v1/groups/g/read";
constexpr const char* kWrite = "/v1/groups/g/write";
constexpr const char* kValidStatement = R"({"sql":"SELECT 1"})";

TEST_F(CallerApiTest, EveryKindOfBadInputHasItsOwnCode) {
  EXPECT_EQ(CodeOf("POST", kRead, "{"), ResultCode::kBadJson);
  EXPECT_EQ(CodeOf("POST", kRead, R"({"sql":7})"), ResultCode::kBadField);
  EXPECT_EQ(CodeOf("POST", kRead, "{}"), ResultCode::kBadField);
  const std::string bad_age = R"({"sql":"SELECT 1","max_age_ms":-1})";
  EXPECT_EQ(CodeOf("POST", kRead, bad_age), ResultCode::kBadField);
  const std::string bad_params = R"({"sql":"SELECT ?","params":[[1]]})";
  EXPECT_EQ(CodeOf("POST", kRead, bad_params), ResultCode::kBadField);
  EXPECT_EQ(CodeOf("POST", "/v1/groups/none/read", kValidStatement), ResultCode::kUnknownGroup);
  const auto oversize = "{\"sql\":\"" + std::string(1'200'000, 'x') + "\"}";
  EXPECT_EQ(CodeOf("POST", kWrite, oversize), ResultCode::kBodyTooLarge);
  EXPECT_EQ(CodeOf("POST", kRead, kValidStatement, {{"Cardamom-Session", "c1.00.00"}}),
            ResultCode::kBadToken);
  EXPECT_EQ(CodeOf("POST", kRead, kValidStatement, {{"Cardamom-Session", "c9.00.00"}}),
            ResultCode::kForeignToken);
  EXPECT_EQ(CodeOf("POST", kRead, kValidStatement, {{"Cardamom-Deadline-Ms", "soon"}}),
            ResultCode::kBadHeader);
  EXPECT_EQ(CodeOf("POST", kRead, kValidStatement, {{"Cardamom-Deadline-Ms", "0"}}),
            ResultCode::kDeadlineExpired);
  EXPECT_EQ(CodeOf("POST", kWrite, kValidStatement, {{"Idempotency-Key", std::string(300, 'k')}}),
            ResultCode::kBadHeader);
  EXPECT_EQ(CodeOf("POST", "/v1/transactions/vm0~1/commit", "{}"), ResultCode::kUnknownTransaction);
  EXPECT_EQ(CodeOf("GET", kRead, ""), ResultCode::kNoRoute);
  EXPECT_EQ(CodeOf("POST", "/peer/v1/groups/g/read", kValidStatement), ResultCode::kNoRoute);
  EXPECT_EQ(CodeOf("POST", kRead, R"({"sql":"SELECT nothing FROM nowhere"})"),
            ResultCode::kStatementFailed);
  EXPECT_EQ(CodeOf("POST", kRead, R"json({"sql":"CREATE TABLE sneaky (a)"})json"),
            ResultCode::kStatementFailed);
}

TEST_F(CallerApiTest, PeerPortRejectsAWrongKey) {
  const auto response = SendOnce(s_cluster->proxy(0).peer_address, "GET", "/peer/v1/revision", "",
                                 {{"Cardamom-Peer-Key", "wrong"}});
  EXPECT_EQ(DecodeJson<ProblemDetails>(response->body)->code,
            static_cast<int>(ResultCode::kForbiddenPeer));
}

TEST_F(CallerApiTest, ModifiedTokenIsRejected) {
  Session session("g");
  ASSERT_TRUE(session.Write(s_cluster->proxy(0).caller_address, "CREATE TABLE t (a)").ok());
  auto forged = session.token();
  forged[5] = forged[5] == '0' ? '1' : '0';
  EXPECT_EQ(CodeOf("POST", kRead, kValidStatement, {{"Cardamom-Session", forged}}),
            ResultCode::kBadToken);
}

TEST_F(CallerApiTest, OperationsPortServesMetricsAndStatus) {
  EXPECT_EQ(SendOnce(s_cluster->proxy(0).caller_address, "POST", kRead, kValidStatement)->status,
            200);
  const auto metrics = SendOnce(s_cluster->proxy(0).operations_address, "GET", "/metrics", "");
  EXPECT_NE(metrics->body.find("cardamom_requests_total"), std::string::npos);
  EXPECT_EQ(SendOnce(s_cluster->proxy(0).operations_address, "GET", "/livez", "")->status, 200);
  EXPECT_EQ(SendOnce(s_cluster->proxy(0).operations_address, "GET", "/readyz", "")->status, 200);
}

}  // namespace
}  // namespace cardamom
