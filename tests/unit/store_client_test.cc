// Decoding of the store's answers: the era, 410, and tables that take several pages.
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <deque>

#include "async/spawn.h"
#include "http/http_server.h"

namespace cardamom::platform {
namespace {

// A store that gives prepared answers, in order.
class ScriptedStore {
 public:
  ScriptedStore() {
    HttpServerOptions options;
    options.listen_address = *Address::Parse("127.0.0.1:0");
    HttpServer::Handler handler = [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
      targets.push_back(request.target);
      HttpResponse answer;
      answer.status = 503;
      if (!answers.empty()) {
        answer = answers.front();
        answers.pop_front();
      }
      co_return answer;
    };
    m_server = std::move(*HttpServer::Create(m_io, options, {std::move(handler), {}, {}}));
    m_port = MakeTablePort(m_io, m_server->address());
  }

  void Answer(int status, const std::string& era, const std::string& body) {
    HttpResponse answer;
    answer.status = status;
    answer.body = body;
    if (!era.empty()) {
      answer.headers.push_back({"Store-Era", era});
    }
    answers.push_back(answer);
  }

  Outcome<TableSnapshot> Read() {
    return Run([this] { return m_port.read("t", Clock::now() + Millis(2000)); });
  }
  Outcome<TableSnapshot> Follow() {
    const StorePosition after{StoreEra(1), StoreVersion(9)};
    return Run([this, after] { return m_port.follow("t", after, Millis(10)); });
  }

  std::deque<HttpResponse> answers;
  std::vector<std::string> targets;

 private:
  using Call = std::function<asio::awaitable<Outcome<TableSnapshot>>()>;
  Outcome<TableSnapshot> Run(const Call& call) {
    Outcome<TableSnapshot> result = Error{ResultCode::kNoAnswer, "not run", Ran::kNo};
    Spawn(m_io, [&]() -> asio::awaitable<void> {
      result = co_await call();
      m_io.stop();
    });
    m_io.restart();
    m_io.run_for(Millis(3000));
    return result;
  }

  boost::asio::io_context m_io;
  std::unique_ptr<HttpServer> m_server;
  TablePort m_port;
};

constexpr const char* kFirstPage =
    R"({"rows":[{"key":"a b","ver":3,"value":""}],"has_more":true,"ver":5,"now_ms":1})";
constexpr const char* kLastPage =
    R"({"rows":[{"key":"c","ver":7,"value":""}],"has_more":false,"ver":8,"now_ms":2})";

// Guards against a change that is never seen: a row of the first page changes before the second one
// is read, and the feed continues after the version of the second page.
TEST(StoreClientTest, ATableOfSeveralPagesHasThePositionOfTheFirst) {
  ScriptedStore store;
  store.Answer(200, "2", kFirstPage);
  store.Answer(200, "2", kLastPage);
  const auto read = store.Read();
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->rows.size(), 2U);
  EXPECT_EQ(read->position, (StorePosition{StoreEra(2), StoreVersion(5)}));
}

TEST(StoreClientTest, KeysAreEncodedInTheTargetOfTheNextPage) {
  ScriptedStore store;
  store.Answer(200, "2", kFirstPage);
  store.Answer(200, "2", kLastPage);
  ASSERT_TRUE(store.Read().has_value());
  ASSERT_EQ(store.targets.size(), 2U);
  EXPECT_NE(store.targets[1].find("&from=a%20b%00"), std::string::npos) << store.targets[1];
}

// Guards against a snapshot with rows of two eras.
TEST(StoreClientTest, APageOfAnotherEraEndsTheRead) {
  ScriptedStore store;
  store.Answer(200, "2", kFirstPage);
  store.Answer(200, "3", kLastPage);
  EXPECT_FALSE(store.Read().has_value());
}

TEST(StoreClientTest, AGoneHistoryAndAMalformedEraAreReported) {
  ScriptedStore store;
  store.Answer(410, "2", "{}");
  const auto gone = store.Follow();
  ASSERT_TRUE(gone.has_value());
  EXPECT_TRUE(gone->history_gone);
  store.Answer(200, "second", kLastPage);
  EXPECT_FALSE(store.Read().has_value());
}

// Guards against a table that is not followed any more because one row of another writer holds no
// base64, in a whole read as well as among changes.
TEST(StoreClientTest, RowsBesideOneThatIsNotBase64AreRead) {
  constexpr const char* kRows =
      R"({"rows":[{"key":"a","ver":3,"value":"YQ=="},{"key":"b","ver":4,"value":"?"},
          {"key":"c","ver":5,"value":7},{"key":"d","ver":6,"value":"ZA=="}],"ver":8,"now_ms":2})";
  ScriptedStore store;
  store.Answer(200, "1", kRows);
  store.Answer(200, "1", kRows);
  for (const auto& answer : {store.Read(), store.Follow()}) {
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer->rows.size(), 4U);
    EXPECT_EQ(answer->rows[0].value, "a");
    EXPECT_EQ(answer->rows[1].value, "");
    EXPECT_EQ(answer->rows[2].value, "");
    EXPECT_EQ(answer->rows[3].value, "d");
  }
}

}  // namespace
}  // namespace cardamom::platform
