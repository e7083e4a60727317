// In-memory SQLite database of the endpoint stand-in.
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

// One in-memory SQLite database. Not thread safe. The constructor, Begin, Commit, Rollback and
// Apply throw std::runtime_error if SQLite reports an error or an entry does not apply.
class Database {
 public:
  Database();

  enum class Access { kReadOnly, kReadWrite };

  // Runs one statement. Errors: kStatementFailed, also for a statement that changes data under
  // kReadOnly.
  Outcome<StatementResult> Execute(const SqlStatement& statement,
                                   Access access = Access::kReadWrite);

  // Precondition: no transaction is open.
  void Begin();
  // Precondition for both: a transaction is open.
  void Commit();
  void Rollback();

  // Returns the answer stored with `key`, or nothing if the key does not exist.
  std::optional<StoredAnswer> FindKey(const IdempotencyKey& key);
  // Stores `answer` with `key`. Errors: kKeyConflict if the key exists.
  Outcome<void> InsertKey(const IdempotencyKey& key, const StoredAnswer& answer);

  // Applies a log entry in one transaction. Precondition: no transaction is open.
  void Apply(const LogEntry& entry);

  // Replaces the content by a copy of `other`. Throws std::runtime_error if the copy cannot be
  // started.
  void CopyFrom(Database& other);

 private:
  struct Closer {
    void operator()(sqlite3* handle) const;
  };

  // Creates the table of idempotency keys. Precondition: it does not exist.
  void CreateKeyTable();
  // Runs `sql`. Throws std::runtime_error if it fails.
  void ExecuteOrThrow(const char* sql);

  std::unique_ptr<sqlite3, Closer> m_handle;
};

}  // namespace cardamom
