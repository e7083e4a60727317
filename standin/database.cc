#include "standin/database.h"

#include <stdexcept>
#include <utility>

#include <sqlite3.h>

namespace cardamom {
namespace {

using StatementHandle = std::unique_ptr<sqlite3_stmt, decltype(&sqlite3_finalize)>;

bool Bind(sqlite3_stmt* handle, int parameter_index, const boost::json::value& value) {
  switch (value.kind()) {
    case boost::json::kind::null:
      return sqlite3_bind_null(handle, parameter_index) == SQLITE_OK;
    case boost::json::kind::bool_:
      return sqlite3_bind_int(handle, parameter_index, value.get_bool() ? 1 : 0) == SQLITE_OK;
    case boost::json::kind::int64:
      return sqlite3_bind_int64(handle, parameter_index, value.get_int64()) == SQLITE_OK;
    case boost::json::kind::uint64:
      return sqlite3_bind_int64(handle, parameter_index,
                                static_cast<sqlite3_int64>(value.get_uint64())) == SQLITE_OK;
    case boost::json::kind::double_:
      return sqlite3_bind_double(handle, parameter_index, value.get_double()) == SQLITE_OK;
    case boost::json::kind::string: {
      const auto& text = value.get_string();
      return sqlite3_bind_text(handle, parameter_index, text.data(), static_cast<int>(text.size()),
                               SQLITE_TRANSIENT) == SQLITE_OK;
    }
    default:
      return false;
  }
}

boost::json::value ColumnValue(sqlite3_stmt* handle, int column_index) {
  switch (sqlite3_column_type(handle, column_index)) {
    case SQLITE_INTEGER:
      return sqlite3_column_int64(handle, column_index);
    case SQLITE_FLOAT:
      return sqlite3_column_double(handle, column_index);
    case SQLITE_NULL:
      return nullptr;
    default:
      return boost::json::string(
          reinterpret_cast<const char*>(sqlite3_column_text(handle, column_index)),
          static_cast<std::size_t>(sqlite3_column_bytes(handle, column_index)));
  }
}

SqlStatement MakeStatement(const char* sql, boost::json::array params) {
  return SqlStatement{sql, std::move(params)};
}

}  // namespace

void Database::Closer::operator()(sqlite3* handle) const {
  sqlite3_close_v2(handle);
}

Database::Database() {
  sqlite3* handle = nullptr;
  if (sqlite3_open(":memory:", &handle) != SQLITE_OK) {
    throw std::runtime_error("cannot open a database in memory");
  }
  m_handle.reset(handle);
  CreateKeyTable();
}

void Database::CreateKeyTable() {
  ExecuteOrThrow(
      "CREATE TABLE cardamom_keys (key TEXT PRIMARY KEY, fingerprint TEXT, result TEXT)");
}

void Database::ExecuteOrThrow(const char* sql) {
  char* message = nullptr;
  if (sqlite3_exec(m_handle.get(), sql, nullptr, nullptr, &message) != SQLITE_OK) {
    const std::string text = message == nullptr ? "unknown" : message;
    sqlite3_free(message);
    throw std::runtime_error(text);
  }
}

Outcome<StatementResult> Database::Execute(const SqlStatement& statement, Access access) {
  sqlite3_stmt* raw = nullptr;
  const auto prepared = sqlite3_prepare_v2(m_handle.get(), statement.sql.data(),
                                           static_cast<int>(statement.sql.size()), &raw, nullptr);
  const StatementHandle handle(raw, &sqlite3_finalize);
  if (prepared != SQLITE_OK || raw == nullptr) {
    return Error{ResultCode::kStatementFailed, sqlite3_errmsg(m_handle.get())};
  }
  if (static_cast<std::size_t>(sqlite3_bind_parameter_count(raw)) != statement.params.size()) {
    return Error{ResultCode::kStatementFailed, "wrong number of parameters"};
  }
  for (std::size_t i = 0; i < statement.params.size(); ++i) {
    if (!Bind(raw, static_cast<int>(i) + 1, statement.params[i])) {
      return Error{ResultCode::kStatementFailed, "a parameter has a type that cannot be bound"};
    }
  }
  if (access == Access::kReadOnly && sqlite3_stmt_readonly(raw) == 0) {
    return Error{ResultCode::kStatementFailed, "a read may not change data"};
  }
  StatementResult result;
  for (int i = 0; i < sqlite3_column_count(raw); ++i) {
    result.columns.emplace_back(sqlite3_column_name(raw, i));
  }
  int step = sqlite3_step(raw);
  for (; step == SQLITE_ROW; step = sqlite3_step(raw)) {
    boost::json::array row;
    for (int i = 0; i < sqlite3_column_count(raw); ++i) {
      row.push_back(ColumnValue(raw, i));
    }
    result.rows.push_back(std::move(row));
  }
  if (step != SQLITE_DONE) {
    return Error{ResultCode::kStatementFailed, sqlite3_errmsg(m_handle.get())};
  }
  if (sqlite3_stmt_readonly(raw) == 0) {
    result.affected = sqlite3_changes(m_handle.get());
  }
  return result;
}

void Database::Begin() {
  ExecuteOrThrow("BEGIN");
}

void Database::Commit() {
  ExecuteOrThrow("COMMIT");
}

void Database::Rollback() {
  ExecuteOrThrow("ROLLBACK");
}

std::optional<StoredAnswer> Database::FindKey(const IdempotencyKey& key) {
  const auto found =
      Execute(MakeStatement("SELECT fingerprint, result FROM cardamom_keys WHERE key = ?",
                            {boost::json::string(key.value())}));
  if (!found || found->rows.empty()) {
    return std::nullopt;
  }
  const auto& row = found->rows.front();
  return StoredAnswer{std::string(row[0].as_string()), std::string(row[1].as_string())};
}

Outcome<void> Database::InsertKey(const IdempotencyKey& key, const StoredAnswer& answer) {
  const auto inserted = Execute(
      MakeStatement("INSERT INTO cardamom_keys (key, fingerprint, result) VALUES (?, ?, ?)",
                    {boost::json::string(key.value()), boost::json::string(answer.fingerprint),
                     boost::json::string(answer.result)}));
  if (!inserted) {
    return Error{ResultCode::kKeyConflict, inserted.error().detail};
  }
  return Outcome<void>();
}

void Database::Apply(const LogEntry& entry) {
  Begin();
  for (const auto& statement : entry.statements) {
    const auto result = Execute(statement);
    if (!result) {
      throw std::runtime_error("the log cannot be applied: " + result.error().detail);
    }
  }
  if (!entry.key.value().empty()) {
    const auto inserted = InsertKey(entry.key, {entry.fingerprint, entry.result});
    if (!inserted) {
      throw std::runtime_error("the log holds a key twice: " + entry.key.value());
    }
  }
  Commit();
}

void Database::CopyFrom(Database& other) {
  auto* backup = sqlite3_backup_init(m_handle.get(), "main", other.m_handle.get(), "main");
  if (backup == nullptr) {
    throw std::runtime_error("the database cannot be copied");
  }
  sqlite3_backup_step(backup, -1);
  sqlite3_backup_finish(backup);
}

}  // namespace cardamom
