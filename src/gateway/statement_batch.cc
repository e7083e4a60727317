#include "gateway/statement_batch.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace cardamom {
namespace {

// The proxy's name for a prepared statement on a link. It depends only on the access and the shape,
// so that sessions that prepared the same statement can share links.
std::string SharedStatementName(const PreparedStatement& prepared) {
  const auto hash = XXH64(prepared.shape.data(), prepared.shape.size(), 0);
  return fmt::format("{}{:016x}", prepared.access == Access::kWrite ? 'w' : 'r', hash);
}

EndpointRequest SetValueRequest(const std::string& name, const std::string& value) {
  EndpointRequest request;
  request.operation = EndpointOperation::kSetValue;
  request.name = name;
  request.value = value;
  return request;
}

// Whether every value set on the link equals the session's value of that name.
bool IsPartOf(const SessionValues& link, const SessionValues& session) {
  return std::all_of(link.begin(), link.end(), [&](const auto& entry) {
    const auto it = session.find(entry.first);
    return it != session.end() && it->second == entry.second;
  });
}

// The prepared statement that `statement` executes, or nullptr.
const PreparedStatement* FindPrepared(const Statement& statement, const CallerState& caller) {
  if (statement.kind != StatementKind::kExecute) {
    return nullptr;
  }
  const auto it = caller.prepared.find(statement.name);
  return it == caller.prepared.end() ? nullptr : &it->second;
}

}  // namespace

EndpointRequest ToRequest(const Statement& statement, const CallerState& caller) {
  EndpointRequest request;
  request.id = statement.id;
  if (const auto* prepared = FindPrepared(statement, caller)) {
    request.operation = EndpointOperation::kExecute;
    request.name = SharedStatementName(*prepared);
    request.value = statement.value;
  } else {
    request.text = statement.text;
  }
  return request;
}

Access AccessOf(const Statement& statement, const CallerState& caller) {
  if (const auto* prepared = FindPrepared(statement, caller)) {
    return prepared->access;
  }
  return statement.kind == StatementKind::kWrite ? Access::kWrite : Access::kRead;
}

StatementBatch BuildSetupBatch(const PooledLink& link,
                               const CallerState& caller,
                               const Statement* statement,
                               bool in_transaction) {
  StatementBatch batch;
  batch.values_after = caller.values;
  batch.prepared_after = link.prepared;
  auto held = link.values;
  if (!in_transaction && !IsPartOf(held, caller.values)) {
    EndpointRequest discard;
    discard.operation = EndpointOperation::kDiscard;
    batch.requests.push_back(discard);
    batch.prepared_after.clear();
    held.clear();
  }
  for (const auto& [name, value] : caller.values) {
    const auto it = held.find(name);
    if (it == held.end() || it->second != value) {
      batch.requests.push_back(SetValueRequest(name, value));
    }
  }
  const auto* prepared = statement == nullptr ? nullptr : FindPrepared(*statement, caller);
  if (prepared != nullptr && batch.prepared_after.insert(*prepared).second) {
    EndpointRequest prepare;
    prepare.operation = EndpointOperation::kPrepare;
    prepare.name = SharedStatementName(*prepared);
    prepare.access = prepared->access;
    prepare.value = prepared->shape;
    batch.requests.push_back(prepare);
  }
  return batch;
}

bool UpdateLinkState(const StatementBatch& batch, const BatchReply& answer, PooledLink& link) {
  const auto first = std::min(batch.begin_index.value_or(batch.requests.size()),
                              batch.statement_index.value_or(batch.requests.size()));
  for (std::size_t i = 0; i < first; ++i) {
    if (i >= answer.replies.size() || !answer.replies[i].reply.ok()) {
      return false;
    }
  }
  link.values = batch.values_after;
  link.prepared = batch.prepared_after;
  return true;
}

}  // namespace cardamom
