// Replies and their copies against the requests of a link.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck/gtest.h>

#include "statement/reply_matcher.h"

namespace cardamom::testing {
namespace {

EndpointRequest Own(EndpointOperation operation) {
  EndpointRequest request;
  request.operation = operation;
  return request;
}

EndpointRequest Forwarded(bool ends_transaction = false) {
  EndpointRequest request;
  request.id = RequestId("id");
  request.text = ends_transaction ? "COMMIT" : "PUT a data";
  request.ends_transaction = ends_transaction;
  return request;
}

Reply Success(const std::string& signature, SessionState state) {
  auto reply = EmptyReply(state);
  reply.signature = signature;
  return reply;
}

Reply OwnSuccess(SessionState state) {
  return Success("-", state);
}

Reply StatusReply(const std::string& row) {
  auto reply = OwnSuccess(SessionState::kIdle);
  reply.rows.push_back(row);
  return reply;
}

const auto kBegin = Own(EndpointOperation::kBegin);
const auto kRollback = Own(EndpointOperation::kRollback);
const auto kSet = Own(EndpointOperation::kSetValue);
const auto kStatus = Own(EndpointOperation::kStatus);
constexpr auto kIdle = SessionState::kIdle;
constexpr auto kOpen = SessionState::kInTransaction;
constexpr auto kFailed = SessionState::kFailed;

TEST(ReplyMatcherTest, AStatementNeedsASignatureOfItsOwn) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kRepeated);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s2", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), OwnSuccess(kIdle)), ReplyMatch::kImpossible);
  EXPECT_EQ(matcher.Match(kSet, OwnSuccess(kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), OwnSuccess(kIdle)), ReplyMatch::kRepeated);
}

TEST(ReplyMatcherTest, ARequestOfTheProxyNeedsNoSignature) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(kBegin, Success("s1", kIdle)), ReplyMatch::kRepeated);
  EXPECT_EQ(matcher.Match(kBegin, Success("s2", kIdle)), ReplyMatch::kImpossible);
}

TEST(ReplyMatcherTest, TheStateIsTheOneThatTheRequestLeaves) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(kSet, OwnSuccess(kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(kBegin, OwnSuccess(kIdle)), ReplyMatch::kRepeated);
  EXPECT_EQ(matcher.Match(kBegin, OwnSuccess(kOpen)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kOpen)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(true), Success("s2", kOpen)), ReplyMatch::kImpossible);
  EXPECT_EQ(matcher.Match(Forwarded(true), Success("s3", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.state(), kIdle);
  EXPECT_EQ(matcher.Match(kBegin, OwnSuccess(kOpen)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(kRollback, OwnSuccess(kOpen)), ReplyMatch::kRepeated);
  EXPECT_EQ(matcher.Match(kRollback, OwnSuccess(kIdle)), ReplyMatch::kMatches);
}

// Guards against a statement that ran without its transaction, because the copy of an earlier
// reply hid that the begin was refused.
TEST(ReplyMatcherTest, AStatementOutsideItsTransactionDoesNotSucceed) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(kBegin, OwnSuccess(kOpen)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kImpossible);
  EXPECT_EQ(matcher.Match(Forwarded(), ErrorReply(StatementError::kReadOnly, "e0", kIdle)),
            ReplyMatch::kAmbiguous);
}

TEST(ReplyMatcherTest, AKnownRefusalIsAmbiguous) {
  ReplyMatcher matcher;
  const auto busy = ErrorReply(StatementError::kBusy, "e0", kIdle);
  EXPECT_EQ(matcher.Match(Forwarded(), busy), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), busy), ReplyMatch::kAmbiguous);
  const auto other = ErrorReply(StatementError::kBusy, "other text", kIdle);
  EXPECT_EQ(matcher.Match(Forwarded(), other), ReplyMatch::kMatches);
}

// Guards against a refused session value that is taken for the refusal of the write after it.
TEST(ReplyMatcherTest, ARefusalAfterARequestThatACopyMayHaveAnsweredIsAmbiguous) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(kSet, OwnSuccess(kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(kSet, OwnSuccess(kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), ErrorReply(StatementError::kBusy, "e0", kIdle)),
            ReplyMatch::kAmbiguous);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), ErrorReply(StatementError::kReadOnly, "e0", kIdle)),
            ReplyMatch::kMatches);
}

TEST(ReplyMatcherTest, AKnownStatusIsAmbiguous) {
  ReplyMatcher matcher;
  EXPECT_EQ(matcher.Match(kStatus, StatusReply("replica 1 1.5")), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(kStatus, StatusReply("replica 1 1.5")), ReplyMatch::kAmbiguous);
  EXPECT_EQ(matcher.Match(kStatus, StatusReply("replica 1 1.6")), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), StatusReply("replica 1 1.6")), ReplyMatch::kRepeated);
  EXPECT_EQ(matcher.Match(kSet, StatusReply("replica 1 1.6")), ReplyMatch::kRepeated);
}

TEST(ReplyMatcherTest, OnlyCopiesOfSuccessesAreHarmlessWhileNoRequestWaits) {
  ReplyMatcher matcher;
  const auto busy = ErrorReply(StatementError::kBusy, "e0", kIdle);
  EXPECT_EQ(matcher.Match(Forwarded(), Success("s1", kIdle)), ReplyMatch::kMatches);
  EXPECT_EQ(matcher.Match(Forwarded(), busy), ReplyMatch::kMatches);
  EXPECT_TRUE(matcher.IsHarmlessSurplus(Success("s1", kIdle)));
  EXPECT_FALSE(matcher.IsHarmlessSurplus(Success("s2", kIdle)));
  EXPECT_FALSE(matcher.IsHarmlessSurplus(busy));
  EXPECT_FALSE(matcher.IsHarmlessSurplus(OwnSuccess(kIdle)));
}

// A reply, and the request that it answers.
struct Sent {
  Reply reply;
  int request = 0;
};

// Chances of a walk; the same seed gives the same walk.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : m_random(seed) {}
  bool Roll(double probability) { return std::bernoulli_distribution(probability)(m_random); }
  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  }

 private:
  std::mt19937_64 m_random;
};

// A server's session: runs requests in order, and sends some replies a second time, late.
class SessionModel {
 public:
  SessionModel(Dice& dice, double copies) : m_dice(dice), m_copies(copies) {}

  // Runs a request and sends its reply. Some copies of earlier replies arrive before it.
  void Run(const EndpointRequest& request, int number, bool refuses) {
    DeliverCopies();
    Sent sent{Answer(request, refuses), number};
    m_arrived.push_back(sent);
    m_ran[number] = sent.reply.ok();
    if (m_dice.Roll(m_copies)) {
      m_late.push_back(sent);
    }
  }

  // Some copies arrive while no request waits.
  void DeliverCopies() {
    while (!m_late.empty() && m_dice.Roll(0.5)) {
      const auto which = m_dice.Below(m_late.size());
      m_arrived.push_back(m_late[which]);
      m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(which));
    }
  }

  std::optional<Sent> Read() {
    if (m_arrived.empty()) {
      return std::nullopt;
    }
    auto sent = m_arrived.front();
    m_arrived.pop_front();
    return sent;
  }

  bool HasRun(int number) { return m_ran[number]; }
  bool HasArrived() const { return !m_arrived.empty(); }

 private:
  Reply Answer(const EndpointRequest& request, bool refuses) {
    if (refuses) {
      const auto code = request.operation == EndpointOperation::kBegin ? StatementError::kReadOnly
                                                                       : StatementError::kBusy;
      m_state = m_state == kIdle ? kIdle : kFailed;
      return ErrorReply(code, "e0", m_state);
    }
    if (m_state == kFailed && request.operation != EndpointOperation::kRollback) {
      return ErrorReply(StatementError::kMalformed, "e0", m_state);
    }
    if (request.operation == EndpointOperation::kBegin ||
        request.operation == EndpointOperation::kBeginReadOnly) {
      m_state = kOpen;
    } else if (request.operation == EndpointOperation::kRollback || request.ends_transaction) {
      m_state = kIdle;
    }
    return Success(IsForwarded(request.operation) ? "s" + std::to_string(++m_signatures) : "-",
                   m_state);
  }

  Dice& m_dice;
  const double m_copies;
  SessionState m_state = kIdle;
  int m_signatures = 0;
  std::deque<Sent> m_arrived;
  std::vector<Sent> m_late;
  std::map<int, bool> m_ran;
};

// Reads replies by the decisions of a ReplyMatcher, as a link does.
class LinkModel {
 public:
  LinkModel(Dice& dice, double copies) : m_server(dice, copies) {}

  struct Result {
    Sent sent;
    bool is_ambiguous = false;
  };

  // Returns nothing if the link is closed.
  std::optional<Result> Ask(const EndpointRequest& request, bool refuses) {
    m_server.DeliverCopies();
    while (m_server.HasArrived()) {
      if (!m_matcher.IsHarmlessSurplus(m_server.Read()->reply)) {
        return std::nullopt;
      }
      ++m_copies_seen;
    }
    m_surplus = 0;
    m_server.Run(request, ++m_number, refuses);
    while (auto sent = m_server.Read()) {
      switch (m_matcher.Match(request, sent->reply)) {
        case ReplyMatch::kMatches:
          return Result{*sent, false};
        case ReplyMatch::kAmbiguous:
          return Result{*sent, true};
        case ReplyMatch::kRepeated:
          ++m_surplus;
          ++m_copies_seen;
          break;
        case ReplyMatch::kImpossible:
          return std::nullopt;
      }
    }
    return std::nullopt;
  }

  // As ConfirmLink.
  bool Confirm() {
    const auto begun = Ask(Own(EndpointOperation::kBeginReadOnly), false);
    if (!begun || !begun->sent.reply.ok() || m_surplus > 0) {
      return false;
    }
    const auto ended = Ask(kRollback, false);
    return ended && ended->sent.reply.ok() && m_surplus == 0 && !m_server.HasArrived();
  }

  SessionState state() const { return m_matcher.state(); }
  int number() const { return m_number; }
  // Copies that were recognized.
  int copies_seen() const { return m_copies_seen; }
  bool HasRun(int number) { return m_server.HasRun(number); }

 private:
  SessionModel m_server;
  ReplyMatcher m_matcher;
  int m_number = 0;
  int m_copies_seen = 0;
  std::size_t m_surplus = 0;
};

EndpointRequest ChooseRequest(SessionState state, Dice& dice) {
  const std::vector<EndpointRequest> idle{Forwarded(), Forwarded(), kBegin, kSet};
  const std::vector<EndpointRequest> open{Forwarded(), Forwarded(true), kRollback};
  switch (state) {
    case kIdle:
      return idle[dice.Below(idle.size())];
    case kOpen:
      return open[dice.Below(open.size())];
    case kFailed:
      return kRollback;
  }
  return kRollback;
}

// Chances of a walk.
struct WalkOptions {
  double copies = 0;
  double refused_statements = 0;
  double refused_own = 0;
};

struct WalkResult {
  // Requests whose reply was found before the link was closed.
  int requests = 0;
  int copies_seen = 0;
  // A statement succeeded with the reply to another request.
  bool mixed = false;
  // A statement that ran was reported as not run.
  bool falsely_refused = false;
  bool closed = false;
};

// Sends requests until the link is closed, as the gateway would.
WalkResult Walk(std::uint64_t seed, const WalkOptions& options) {
  constexpr int kSteps = 60;
  Dice dice(seed);
  LinkModel link(dice, options.copies);
  WalkResult result;
  for (; result.requests < kSteps && !result.closed; ++result.requests) {
    const auto request = ChooseRequest(link.state(), dice);
    const bool is_forwarded = IsForwarded(request.operation);
    const bool refuses = request.operation != EndpointOperation::kRollback &&
                         dice.Roll(is_forwarded ? options.refused_statements : options.refused_own);
    const auto answer = link.Ask(request, refuses);
    if (!answer) {
      result.closed = true;
      break;
    }
    const auto number = link.number();
    const auto& reply = answer->sent.reply;
    if (!is_forwarded) {
      // A link that refuses a value or a begin is closed.
      result.closed = !reply.ok();
    } else if (reply.ok()) {
      result.mixed = result.mixed || answer->sent.request != number;
    } else {
      bool confirmed = true;
      if (answer->is_ambiguous) {
        const bool ended =
            link.state() == kIdle || (link.Ask(kRollback, false) && link.state() == kIdle);
        confirmed = ended && link.Confirm();
      }
      result.falsely_refused = result.falsely_refused || (confirmed && link.HasRun(number));
      result.closed = !confirmed;
    }
  }
  result.copies_seen = link.copies_seen();
  return result;
}

// Guards against a reply that is taken for the reply to another request, at any place and however
// many replies come twice.
RC_GTEST_PROP(ReplyMatcherProperty,
              NoStatementSucceedsWithTheReplyToAnother,
              (std::uint64_t seed)) {
  for (const double copies : {0.03, 0.1, 0.3}) {
    const auto result =
        Walk(seed, {.copies = copies, .refused_statements = 0.1, .refused_own = 0.02});
    RC_CLASSIFY(result.copies_seen > 0, "saw a copy");
    RC_CLASSIFY(result.requests > 20, "more than 20 requests");
    RC_ASSERT(!result.mixed);
  }
}

// Guards against a statement that is reported as not run because of the copy of a refusal.
RC_GTEST_PROP(ReplyMatcherProperty, NoStatementThatRanIsReportedAsRefused, (std::uint64_t seed)) {
  for (const double copies : {0.03, 0.1, 0.3}) {
    const auto result =
        Walk(seed, {.copies = copies, .refused_statements = 0.3, .refused_own = 0.02});
    RC_ASSERT(!result.falsely_refused);
  }
}

// Guards against links that are closed, and statements that fail, though no reply came twice.
RC_GTEST_PROP(ReplyMatcherProperty, WithoutCopiesEveryReplyMatches, (std::uint64_t seed)) {
  const auto result = Walk(seed, {.refused_statements = 0.3});
  RC_ASSERT(!result.closed);
  RC_ASSERT(!result.mixed);
  RC_ASSERT(!result.falsely_refused);
  RC_ASSERT(result.requests == 60);
}

}  // namespace
}  // namespace cardamom::testing
