// Messages of the platform contract (docs/PLATFORM-CONTRACT.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/json.h"
#include "core/store_position.h"
#include "membership/vm_entry.h"

namespace cardamom {

// A row of the table. Version 0 means that the row does not exist.
struct PlatformRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};
BOOST_DESCRIBE_STRUCT(PlatformRow, (), (key, version, value))

struct RowVersion {
  std::string key;
  std::uint64_t version = 0;
};
BOOST_DESCRIBE_STRUCT(RowVersion, (), (key, version))

struct RowPut {
  std::string key;
  std::string value;
};
BOOST_DESCRIBE_STRUCT(RowPut, (), (key, value))

// POST /v1/table/transact. Atomic: applied only if each row of `expect` has the version given
// there.
struct TransactRequest {
  std::vector<RowVersion> expect;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};
BOOST_DESCRIBE_STRUCT(TransactRequest, (), (expect, puts, deletes))

// `rows` holds the rows with the keys in `expect`, as they are after the request.
struct TransactAnswer {
  bool applied = false;
  std::vector<PlatformRow> rows;
  // From the header Store-Era. If it is not the era in which the expected versions were read, these
  // were not comparable, and `applied` shows nothing.
  StoreEra era;
};
BOOST_DESCRIBE_STRUCT(TransactAnswer, (), (applied, rows))

// POST /v1/table/read. Reads the rows of `keys` and all rows whose key starts with one of
// `prefixes`.
struct TableReadRequest {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};
BOOST_DESCRIBE_STRUCT(TableReadRequest, (), (keys, prefixes))

struct TableReadAnswer {
  std::vector<PlatformRow> rows;
  // From the header Store-Era.
  StoreEra era;
};
BOOST_DESCRIBE_STRUCT(TableReadAnswer, (), (rows))

// GET /v1/vms.
struct VmList {
  std::vector<VmEntry> vms;
};
BOOST_DESCRIBE_STRUCT(VmList, (), (vms))

}  // namespace cardamom
