// Tests of the line protocol and the directory decoders: valid input, formatted output and
// malformed input.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/directory_decoders.h"
#include "platform/line_codec.h"

namespace cardamom::platform {
namespace {

Statement ParseStatement(std::string_view line) {
  auto message = ParseCallerLine(line);
  const auto* statement = std::get_if<Statement>(&message);
  EXPECT_NE(statement, nullptr) << line;
  return statement == nullptr ? Statement() : *statement;
}

TEST(LineCodecTest, ParsesEveryKindOfStatement) {
  EXPECT_EQ(ParseStatement("QUERY 1 BEGIN").kind, StatementKind::kBegin);
  EXPECT_EQ(ParseStatement("QUERY 1 BEGIN FETCH").kind, StatementKind::kBeginReadOnly);
  EXPECT_EQ(ParseStatement("QUERY 1 COMMIT").kind, StatementKind::kCommit);
  EXPECT_EQ(ParseStatement("QUERY 1 ROLLBACK").kind, StatementKind::kRollback);
  EXPECT_EQ(ParseStatement("QUERY 1 FETCH a").kind, StatementKind::kRead);
  EXPECT_EQ(ParseStatement("QUERY 1 PUT a b c").kind, StatementKind::kWrite);
  const auto set = ParseStatement("QUERY 1 SET region the north");
  EXPECT_EQ(set.kind, StatementKind::kSetValue);
  EXPECT_EQ(set.value, "the north");
  const auto prepared = ParseStatement("QUERY 1 PARSE s1 PUT q2c");
  EXPECT_EQ(prepared.kind, StatementKind::kPrepare);
  EXPECT_EQ(prepared.access, Access::kWrite);
  EXPECT_EQ(prepared.value, "q2c");
  const auto executed = ParseStatement("QUERY 1 EXECUTE s1 1a4 xk qp");
  EXPECT_EQ(executed.kind, StatementKind::kExecute);
  EXPECT_EQ(executed.value, "1a4 xk qp");
  EXPECT_EQ(ParseStatement("QUERY 1 CLOSE s1").kind, StatementKind::kDeallocate);
}

TEST(LineCodecTest, RejectsInvalidStatementsAndLines) {
  for (const auto* line :
       {"QUERY 1", "QUERY", "QUERY - FETCH a", "QUERY 1 FETCH", "QUERY 1 PUT a", "QUERY 1 SET a",
        "QUERY 1 PARSE s1 DROP x", "QUERY 1 BEGIN PUT", "QUERY 1 COMMIT now", "QUERY 1 DISCARD",
        "QUERY 1 AFTER 1.2 FETCH a", "QUERY 1 STATUS", "QUERY 1 STEPDOWN 9"}) {
    EXPECT_TRUE(std::holds_alternative<InvalidStatement>(ParseCallerLine(line))) << line;
  }
  for (const auto* line : {"", "HELLO", "CONNECT", "CONNECT db", "query 1 FETCH a"}) {
    EXPECT_TRUE(std::holds_alternative<InvalidLine>(ParseCallerLine(line))) << line;
  }
  EXPECT_TRUE(std::holds_alternative<InvalidLine>(
      ParseCallerLine(std::string_view("QUERY 1 FETCH a\0b", 17))));
}

TEST(LineCodecTest, FormatsRequestsToServers) {
  EndpointRequest read;
  read.id = RequestId("5c");
  read.text = "FETCH 1a4";
  read.min_position = Position{Term(3), LogIndex(1207)};
  EXPECT_EQ(FormatRequest(read), "QUERY 5c AFTER 3.1207 FETCH 1a4\r\n");
  EndpointRequest pause;
  pause.operation = EndpointOperation::kPause;
  pause.term = Term(4);
  EXPECT_EQ(FormatRequest(pause), "QUERY - PAUSE 4\r\n");
  EXPECT_EQ(FormatConnect("huvo", "vm-1", "i-7"), "CONNECT huvo vm-1 i-7\r\n");
}

TEST(LineCodecTest, FormatsRepliesWithRowsAndSignatureUnchanged) {
  Reply reply;
  reply.rows = {"qhz kw"};
  reply.signature = "7.1f3";
  reply.position = Position{Term(3), LogIndex(9)};
  EXPECT_EQ(FormatReply(reply), "DATAROW qhz kw\r\nCOMPLETE 7.1f3\r\nREADY I 3.9\r\n");
  EXPECT_EQ(FormatReply(ErrorReply(StatementError::kInDoubt, "x", SessionState::kFailed)),
            "ERROR INDOUBT x\r\nREADY E -\r\n");
}

TEST(LineCodecTest, ParsesStatusRow) {
  const auto status = ParseStatusRow("replica 3 3.1209 5 12 2 17");
  ASSERT_TRUE(status);
  EXPECT_FALSE(status->is_primary);
  EXPECT_EQ(status->received, (Position{Term(3), LogIndex(1209)}));
  EXPECT_EQ(status->paused_at, Term(5));
  for (const auto* row :
       {"", "replica", "leader 3 3.1 0 1 2 3", "primary x 3.1 0", "primary 3 31 0"}) {
    EXPECT_FALSE(ParseStatusRow(row)) << row;
  }
}

// Arbitrary bytes must not make a parser fail. A line of a caller must not be parsed as a request
// of the proxy itself (id "-" or empty), nor as a statement with a line break, which a server would
// read as two messages.
RC_GTEST_PROP(LineCodecProperty, ParsesArbitraryLines, ()) {
  const auto line = *rc::gen::arbitrary<std::string>();
  const auto message = ParseCallerLine(line);
  if (const auto* statement = std::get_if<Statement>(&message)) {
    RC_ASSERT(statement->id.value() != "-" && !statement->id.value().empty());
    RC_ASSERT(statement->text.find('\n') == std::string::npos);
  }
  (void)ParseServerLine(line);
  (void)ParseStatusRow(line);
  (void)ParsePosition(line);
}

// Valid lines with a few changed bytes must not make a parser fail either. The parsers get further
// in these than in arbitrary bytes.
RC_GTEST_PROP(LineCodecProperty, ParsesCorruptedLines, ()) {
  std::string line = *rc::gen::element<std::string>(
      "QUERY 5c EXECUTE s1 1a4 xk", "QUERY 5c PARSE s1 PUT q2c", "CONNECT huvo vm i-7",
      "QUERY 5c AFTER 3.12 FETCH a", "READY T 3.120", "ERROR BUSY x", "replica 3 3.1209 0 12 2 17");
  const auto changes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < changes; ++i) {
    const auto place = *rc::gen::inRange<std::size_t>(0, line.size());
    line[place] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  (void)ParseCallerLine(line);
  (void)ParseServerLine(line);
  (void)ParseStatusRow(line);
}

// An entry that does not follow the platform's format, for example one written by another program,
// must not become a server with default or wrong values.
TEST(DirectoryDecodersTest, RejectsInvalidServersAndConfigurations) {
  const auto decoders = MakeDirectoryDecoders();
  const std::string good =
      R"({"service":"h","address":"10.1.0.9:80","zone":"z","version":"v1","slots":5,)"
      R"("state":"draining","cold_left_ms":0,"db_role":"replica","seq":4,"born":17})";
  const auto entry = decoders.server("i-1", good);
  ASSERT_TRUE(entry);
  EXPECT_TRUE(entry->leaving);
  EXPECT_EQ(entry->started_ms, 17);
  for (
      const auto* text :
      {"", "{", "[]", "{}", R"({"service":1})",
       R"({"service":"h","address":"nowhere","zone":"z","slots":5,"state":"ready","db_role":"replica"})",
       R"({"service":"h","address":"10.1.0.9:80","zone":"z","slots":5,"state":"gone","db_role":"replica"})",
       R"({"service":"h","address":"10.1.0.9:80","zone":"z","slots":"5","state":"ready","db_role":"replica"})"}) {
    EXPECT_FALSE(decoders.server("i-1", text)) << text;
  }
  EXPECT_FALSE(decoders.configuration("{\"version\":3}"));
}

}  // namespace
}  // namespace cardamom::platform
