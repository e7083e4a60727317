#include "gateway_fakes.h"

#include <algorithm>
#include <deque>

#include "async/notifier.h"

namespace cardamom::testing {
namespace {

class FakeLink : public EndpointLink {
 public:
  FakeLink(FakeGroup& group, FakeServer& server)
      : m_group(group), m_server(server), m_process(server.process) {}

  asio::awaitable<BatchReply> Run(std::vector<EndpointRequest> requests,
                                  TimePoint deadline) override {
    BatchReply batch;
    for (const auto& request : requests) {
      if (!IsOpen()) {
        batch.failure = Error{ResultCode::kTransport, "reset", Ran::kUnknown};
        co_return batch;
      }
      const bool is_statement = !request.id.value().empty();
      const bool too_late = is_statement && Clock::now() + m_server.statement_duration > deadline;
      if (m_server.unresponsive || m_server.cut_off || too_late) {
        while (Clock::now() < deadline) {
          co_await Sleep(Millis(5));
        }
        m_open = false;
        batch.failure = Error{ResultCode::kNoAnswer, "silent", Ran::kUnknown};
        co_return batch;
      }
      if (is_statement) {
        co_await Sleep(m_server.statement_duration);
      }
      batch.replies.push_back(AnswerInTurn(request));
      m_server.on_reply(request, batch.replies.back());
      if (m_server.restarts_after_status && request.operation == EndpointOperation::kStatus) {
        m_server.restarts_after_status = false;
        m_group.Restart(m_server, m_server.entry.started_ms);
      }
      if (m_server.restarts_after_pause && request.operation == EndpointOperation::kPause) {
        m_server.restarts_after_pause = false;
        m_group.Restart(m_server, m_server.entry.started_ms, true);
        if (auto* primary = m_group.FindPrimary()) {
          m_group.Commit(*primary, "after-restart");
        }
      }
    }
    co_return batch;
  }
  bool IsOpen() const override { return m_open && m_process == m_server.process; }
  bool IsReusable() override { return IsOpen(); }
  void Close() override { m_open = false; }

 private:
  EndpointReply Fail(StatementError code) {
    m_failed = m_in_transaction;
    const auto state = m_in_transaction ? SessionState::kFailed : SessionState::kIdle;
    return {ErrorReply(code, m_server.entry.id.value(), state), std::nullopt};
  }

  // Unlike a statement's failure, leaves an open transaction as it is.
  EndpointReply RefuseValues() {
    const auto state = m_in_transaction ? SessionState::kInTransaction : SessionState::kIdle;
    return {ErrorReply(StatementError::kBusy, m_server.entry.id.value(), state), std::nullopt};
  }

  EndpointReply Succeed(std::string signature = "-") {
    Reply reply;
    reply.signature = std::move(signature);
    reply.state = m_in_transaction ? SessionState::kInTransaction : SessionState::kIdle;
    reply.position = m_server.position();
    return {reply, std::nullopt};
  }

  // Every success of a statement has a signature of its own.
  EndpointReply SucceedSigned(const EndpointRequest& request) {
    return Succeed("signed-" + m_server.entry.id.value() + "-" +
                   std::to_string(++m_server.signatures) + "-" + request.id.value());
  }

  EndpointReply Status() {
    if (m_server.slots_exhausted) {
      return Fail(StatementError::kBusy);
    }
    auto answer = Succeed();
    answer.status =
        EndpointStatus{m_server.is_primary, m_server.term, m_server.position(), m_server.paused_at};
    return answer;
  }

  EndpointReply AnswerInTurn(const EndpointRequest& request) {
    const bool is_statement = !request.id.value().empty();
    m_late.push_back(Answer(request));
    if (is_statement && m_server.repeats_refusal()) {
      auto copy = EndpointReply{
          ErrorReply(StatementError::kBusy, m_server.entry.id.value(), SessionState::kIdle)};
      copy.is_ambiguous = true;
      return copy;
    }
    auto answer = std::move(m_late.front());
    m_late.pop_front();
    answer.is_ambiguous = is_statement && !answer.reply.ok() && m_server.refusals_are_known;
    return answer;
  }

  EndpointReply Answer(const EndpointRequest& request) {
    if (m_failed && request.operation != EndpointOperation::kRollback) {
      return Fail(StatementError::kMalformed);
    }
    if (request.min_position && m_server.position() < *request.min_position) {
      return Fail(StatementError::kLagging);
    }
    switch (request.operation) {
      case EndpointOperation::kBegin:
        if (!m_server.is_primary) {
          return Fail(StatementError::kReadOnly);
        }
        m_in_transaction = true;
        return Succeed();
      case EndpointOperation::kBeginReadOnly:
        m_in_transaction = true;
        return Succeed();
      case EndpointOperation::kRollback:
        m_pending.clear();
        m_in_transaction = false;
        m_failed = false;
        return Succeed();
      case EndpointOperation::kSetValue:
        if (m_server.refuses_values()) {
          return RefuseValues();
        }
        m_values[request.name] = request.value;
        return Succeed();
      case EndpointOperation::kDiscard:
        if (m_server.refuses_values()) {
          return RefuseValues();
        }
        m_values.clear();
        m_prepared.clear();
        return Succeed();
      case EndpointOperation::kPrepare:
        m_prepared[request.name] = {request.access, request.value};
        return Succeed();
      case EndpointOperation::kStatus:
        return Status();
      case EndpointOperation::kPause:
        m_server.paused_at = request.term;
        if (m_group.on_pause) {
          m_group.on_pause();
        }
        return Status();
      case EndpointOperation::kResume:
        m_server.paused_at = Term();
        return Status();
      case EndpointOperation::kStepDown:
        m_server.is_primary = m_server.is_primary && m_server.slots_exhausted;
        return Status();
      case EndpointOperation::kForward:
      case EndpointOperation::kExecute:
        return RunStatement(request);
    }
    return Fail(StatementError::kMalformed);
  }

  EndpointReply RunStatement(const EndpointRequest& request) {
    if (m_server.busy) {
      return Fail(StatementError::kBusy);
    }
    auto access = request.text.starts_with("PUT") ? Access::kWrite : Access::kRead;
    if (request.operation == EndpointOperation::kExecute) {
      const auto it = m_prepared.find(request.name);
      if (it == m_prepared.end()) {
        return Fail(StatementError::kUnknownStatement);
      }
      access = it->second.access;
    }
    std::string note = m_in_transaction ? "tx " : "bare ";
    for (const auto& [name, value] : m_values) {
      note += name + "=" + value + " ";
    }
    m_server.ran.push_back(note + request.id.value() + " " + request.text);
    if (request.text == "COMMIT") {
      return Commit(request);
    }
    if (access == Access::kRead) {
      auto answer = SucceedSigned(request);
      answer.reply.rows = m_server.rows;
      return answer;
    }
    if (!m_server.is_primary) {
      return Fail(StatementError::kReadOnly);
    }
    m_pending.push_back(request.id.value());
    return m_in_transaction ? SucceedSigned(request) : Commit(request);
  }

  EndpointReply Commit(const EndpointRequest& request) {
    if (!m_pending.empty() && !m_server.is_primary) {
      return Fail(StatementError::kReadOnly);
    }
    m_in_transaction = false;
    for (const auto& text : std::exchange(m_pending, {})) {
      if (!m_group.Commit(m_server, text)) {
        return Fail(StatementError::kTimeout);
      }
    }
    return SucceedSigned(request);
  }

  FakeGroup& m_group;
  FakeServer& m_server;
  const int m_process;
  bool m_open = true;
  bool m_in_transaction = false;
  // A statement of the transaction failed; only its end is accepted.
  bool m_failed = false;
  SessionValues m_values;
  std::map<std::string, PreparedStatement> m_prepared;
  std::vector<std::string> m_pending;
  // Replies that have not been sent yet.
  std::deque<EndpointReply> m_late;
};

asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>> OpenFake(FakeGroup& group,
                                                                 EndpointEntry entry,
                                                                 TimePoint deadline) {
  auto* server = group.Find(entry.id.value());
  if (server == nullptr || server->exited) {
    co_return Error{ResultCode::kConnectionRefused, "gone", Ran::kNo};
  }
  if (server->unresponsive || server->cut_off) {
    while (Clock::now() < deadline) {
      co_await Sleep(Millis(5));
    }
    co_return Error{ResultCode::kNoAnswer, "silent", Ran::kNo};
  }
  ++server->links_opened;
  std::unique_ptr<EndpointLink> link = std::make_unique<FakeLink>(group, *server);
  co_return std::move(link);
}

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.vm_id = "vm-1";
  settings.domain = "domain-0";
  settings.capacity_text = "1";
  return settings;
}

}  // namespace

FakeGroup::FakeGroup(std::size_t servers) {
  for (std::size_t i = 0; i < servers; ++i) {
    auto server = std::make_shared<FakeServer>();
    server->entry.id = EndpointId("e" + std::to_string(i));
    server->entry.group = GroupId("orders");
    server->entry.domain = FailureDomain("domain-" + std::to_string(i));
    server->entry.address = "10.0.0." + std::to_string(i) + ":5000";
    server->is_primary = i == 0;
    server->entry.claims_primary = i == 0;
    m_servers.push_back(std::move(server));
  }
}

FakeServer* FakeGroup::Find(const std::string& id) {
  const auto it = std::find_if(m_servers.begin(), m_servers.end(),
                               [&](const auto& server) { return server->entry.id.value() == id; });
  return it == m_servers.end() ? nullptr : it->get();
}

FakeServer* FakeGroup::FindPrimary() {
  const auto it = std::find_if(m_servers.begin(), m_servers.end(),
                               [](const auto& server) { return server->is_primary; });
  return it == m_servers.end() ? nullptr : it->get();
}

std::vector<EndpointEntry> FakeGroup::Entries() const {
  std::vector<EndpointEntry> entries;
  for (const auto& server : m_servers) {
    entries.push_back(server->entry);
  }
  return entries;
}

LinkOpener FakeGroup::Opener() {
  return [this](EndpointEntry entry, const OrganisationName&, TimePoint deadline) {
    return OpenFake(*this, std::move(entry), deadline);
  };
}

bool FakeGroup::Commit(FakeServer& primary, const std::string& text) {
  const auto index = primary.position().index.value() + 1;
  const FakeCommit commit{{primary.term, LogIndex(index)}, text};
  primary.log.push_back(commit);
  bool received = false;
  for (const auto& server : m_servers) {
    const bool receives = !server->is_primary && !server->unresponsive && !server->exited &&
                          !server->replication_blocked && server->paused_at.value() == 0 &&
                          server->term == primary.term;
    if (server.get() != &primary && receives) {
      server->log = primary.log;
      received = true;
    }
  }
  if (received) {
    acknowledged.push_back(text);
  }
  return received;
}

void FakeGroup::Promote(const std::string& id) {
  Term greatest;
  for (const auto& server : m_servers) {
    greatest = std::max(greatest, server->term);
  }
  const Term next(greatest.value() + 1);
  auto* new_primary = Find(id);
  for (const auto& server : m_servers) {
    server->is_primary = server.get() == new_primary;
    server->paused_at = Term();
    if (server->unresponsive || server->exited) {
      continue;
    }
    server->term = next;
    if (!server->replication_blocked) {
      server->log = new_primary->log;
    } else if (server->log.size() > new_primary->log.size()) {
      server->log.resize(new_primary->log.size());
    }
  }
}

void FakeGroup::Exit(FakeServer& server) {
  server.exited = true;
  ++server.process;
}

void FakeGroup::Restart(FakeServer& server, std::int64_t started_ms, bool keeps_log) {
  server.exited = false;
  ++server.process;
  server.entry.started_ms = started_ms;
  server.paused_at = Term();
  server.is_primary = server.is_primary && keeps_log;
  if (!keeps_log) {
    server.log.clear();
  }
}

FakeGateway::FakeGateway(FakeGroup& fake)
    : settings(TestSettings()),
      events(VmId(settings.vm_id), 256),
      context{io, settings, events, metrics, fake.Opener()},
      group(std::make_shared<GroupClient>(context, GroupId("orders"))),
      runner(context) {
  GroupSettings group_settings;
  group_settings.group = group->id();
  group->SetShare({.links = 2});
  group->Update(fake.Entries(), group_settings);
}

void FakeGateway::Run(std::function<asio::awaitable<void>()> work) {
  Spawn(io, [this, work = std::move(work)]() -> asio::awaitable<void> {
    co_await work();
    io.stop();
  });
  io.restart();
  io.run_for(std::chrono::seconds(5));
}

StatementTask FakeGateway::Task(const Statement& statement,
                                const CallerState& caller,
                                Consistency consistency,
                                Millis timeout) const {
  Route route;
  route.group = group->id();
  route.consistency = consistency;
  route.statement_timeout = timeout;
  route.max_staleness = Millis(100);
  return {statement, caller, route, Clock::now(), BootClock::now(), Clock::now() + timeout};
}

Statement MakeStatement(StatementKind kind, const std::string& id, const std::string& text) {
  Statement statement;
  statement.kind = kind;
  statement.id = RequestId(id);
  statement.text = text;
  return statement;
}

Statement MakeRead(const std::string& id, const std::string& item) {
  return MakeStatement(StatementKind::kRead, id, "FETCH " + item);
}

Statement MakeWrite(const std::string& id, const std::string& item) {
  return MakeStatement(StatementKind::kWrite, id, "PUT " + item + " data");
}

}  // namespace cardamom::testing
