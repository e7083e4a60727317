// SQLite in memory behind the endpoint stand-in.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cardamom/error.h"
#include "endpoint/endpoint_messages.h"

struct sqlite3;

namespace cardamom {

// The answer stored with an idempotency key.
struct StoredAnswer {
  std::string fingerprint;
  std::string result;
};

// One SQLite database in memory. Not thread safe.
class Database {
 public:
  Database();

  enum class Access { kReadOnly, kReadWrite };

  // Runs one statement. Errors: kStatementFailed, also for a change under kReadOnly.
  Outcome<StatementResult> Execute(const Statement& statement, Access access = Access::kReadWrite);

  // Precondition: no transaction is open.
  void Begin();
  void Commit();
  void Rollback();

  std::optional<StoredAnswer> FindKey(const IdempotencyKey& key);
  // Errors: kKeyConflict when the key exists.
  Outcome<void> InsertKey(const IdempotencyKey& key, const StoredAnswer& answer);

  // Applies an entry of the log in one transaction.
  void Apply(const LogEntry& entry);

  // Becomes a copy of `other`.
  void CopyFrom(Database& other);

 private:
  struct Closer {
    void operator()(sqlite3* handle) const;
  };

  // Removes everything and creates the key table.
  void Reset();
  void Run(const char* sql);

  std::unique_ptr<sqlite3, Closer> m_handle;
};

}  // namespace cardamom
