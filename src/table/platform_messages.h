// Messages of the platform contract (docs/PLATFORM-CONTRACT.md).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cardamom/strong.h"
#include "core/json.h"

namespace cardamom {

// A row of the table. Version 0 stands for a row that does not exist.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};
BOOST_DESCRIBE_STRUCT(TableRow, (), (key, version, value))

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

// POST /v1/table/transact. All or nothing: applied only if each row has the version it names.
struct TransactRequest {
  std::vector<RowVersion> expect;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};
BOOST_DESCRIBE_STRUCT(TransactRequest, (), (expect, puts, deletes))

// `rows` holds the rows that `expect` names, as they are after the request.
struct TransactAnswer {
  bool applied = false;
  std::vector<TableRow> rows;
};
BOOST_DESCRIBE_STRUCT(TransactAnswer, (), (applied, rows))

// POST /v1/table/read.
struct TableReadRequest {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};
BOOST_DESCRIBE_STRUCT(TableReadRequest, (), (keys, prefixes))

struct TableReadAnswer {
  std::vector<TableRow> rows;
};
BOOST_DESCRIBE_STRUCT(TableReadAnswer, (), (rows))

// One VM of the system, as the platform lists it.
struct VmEntry {
  VmId id;
  // Where the VM's proxy answers its peers.
  std::string peer_address;
  // Where its operations port is.
  std::string operations_address;
  FailureDomain domain;
  Region region;
  bool leaving = false;

  bool operator==(const VmEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(VmEntry, (), (id, peer_address, operations_address, domain, region, leaving))

// GET /v1/vms.
struct VmList {
  std::vector<VmEntry> vms;
};
BOOST_DESCRIBE_STRUCT(VmList, (), (vms))

}  // namespace cardamom
