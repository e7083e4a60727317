// Stand-ins of the platform's store and of one database server, for tests of the session gateway.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "http/http_server.h"

namespace cardamom {

// Serves the tables `op`, `servers` and `members` from memory on a thread of its own. Thread safe.
class CrowdStore {
 public:
  CrowdStore();
  ~CrowdStore();
  // Writes a row.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  const Address& address() const { return m_server->address(); }

 private:
  struct Row {
    std::uint64_t version = 0;
    std::string encoded_value;
  };
  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse RowsAfter(const std::string& table, std::uint64_t after) const;
  HttpResponse Apply(const std::string& body);

  boost::asio::io_context m_context{1};
  // Used on the thread of the context.
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::uint64_t m_version = 0;
  std::unique_ptr<HttpServer> m_server;
  std::thread m_thread;
};

// A primary that accepts every statement. `FETCH rows-COUNT-BYTES` returns COUNT rows of BYTES
// bytes each; any other read returns one short row. Thread safe.
class CrowdDatabase {
 public:
  CrowdDatabase();
  ~CrowdDatabase();
  const Address& address() const { return m_address; }

 private:
  void Accept();
  void Serve(int socket);

  int m_listener = -1;
  Address m_address;
  std::atomic<std::uint64_t> m_index{1};
  // Statements that were answered, each of which got a signature of its own.
  std::atomic<std::uint64_t> m_signatures{0};
  std::mutex m_mutex;
  std::vector<int> m_sockets;
  std::vector<std::thread> m_connections;
  std::thread m_thread;
};

}  // namespace cardamom
