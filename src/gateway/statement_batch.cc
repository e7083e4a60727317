#include "gateway/statement_batch.h"

#include <algorithm>

namespace cardamom {
namespace {

// Names that a transaction finds free: no names can be cleared within it.
constexpr std::size_t kNamesForTransaction = PreparedNames::kMaxNames / 2;

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

EndpointRequest ToRequest(const Statement& statement,
                          const CallerState& caller,
                          const StatementBatch& batch) {
  EndpointRequest request;
  request.id = statement.id;
  request.ends_transaction = statement.kind == StatementKind::kCommit;
  if (FindPrepared(statement, caller) != nullptr) {
    request.operation = EndpointOperation::kExecute;
    request.name = batch.prepared_name;
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
  const auto* prepared = statement == nullptr ? nullptr : FindPrepared(*statement, caller);
  const auto* name = prepared == nullptr ? nullptr : link.prepared.Find(*prepared);
  const bool adds_name = prepared != nullptr && name == nullptr;
  const auto max_names = statement == nullptr ? PreparedNames::kMaxNames - kNamesForTransaction
                                              : PreparedNames::kMaxNames - (adds_name ? 1 : 0);
  const bool is_full = link.prepared.size() > max_names;
  auto held = link.values;
  if (!in_transaction && (is_full || !IsPartOf(held, caller.values))) {
    EndpointRequest discard;
    discard.operation = EndpointOperation::kDiscard;
    batch.requests.push_back(discard);
    batch.changes_values = true;
    batch.clears_prepared = true;
    name = nullptr;
    held.clear();
  }
  batch.exceeds_names = in_transaction && is_full;
  for (const auto& [key, value] : caller.values) {
    const auto it = held.find(key);
    if (it == held.end() || it->second != value) {
      batch.requests.push_back(SetValueRequest(key, value));
      batch.changes_values = true;
    }
  }
  if (name != nullptr) {
    batch.prepared_name = *name;
  } else if (prepared != nullptr) {
    batch.prepared_name = link.prepared.NextName();
    batch.prepares = *prepared;
    EndpointRequest prepare;
    prepare.operation = EndpointOperation::kPrepare;
    prepare.name = batch.prepared_name;
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
  if (batch.clears_prepared) {
    link.prepared.Clear();
  }
  if (batch.prepares) {
    link.prepared.Add(*batch.prepares);
  }
  return true;
}

}  // namespace cardamom
