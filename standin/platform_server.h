// The platform stand-in: table, object store and VM list.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "async/notifier.h"
#include "http/http_server.h"
#include "table/platform_messages.h"

namespace cardamom {

// Faults of the platform stand-in, set over POST /admin/faults.
struct PlatformFaults {
  // Requests to the table and the object store fail; the VM list is another service.
  bool outage = false;
  // The VM list fails too.
  bool list_outage = false;
  // Delay before each request takes effect.
  std::int64_t delay_ms = 0;
  // Number of answers to changes to lose after their effect.
  std::int64_t lose_answers = 0;
  // How long a change of the VM list stays unseen.
  std::int64_t list_lag_ms = 0;
  // Ids of VMs whose requests get no answer.
  std::vector<std::string> cut;
};
BOOST_DESCRIBE_STRUCT(PlatformFaults,
                      (),
                      (outage, list_outage, delay_ms, lose_answers, list_lag_ms, cut))

// Thread safe.
class PlatformServer {
 public:
  static Outcome<std::unique_ptr<PlatformServer>> Create(asio::io_context& context,
                                                         const Address& listen);

  const Address& address() const { return m_http->address(); }

 private:
  struct DatedVmList {
    TimePoint since;
    VmList list;
  };

  PlatformServer() = default;

  asio::awaitable<HttpResponse> Handle(HttpRequest request);
  HttpResponse Route(const HttpRequest& request);
  HttpResponse HandleAdmin(const HttpRequest& request);
  HttpResponse HandleTransact(const HttpRequest& request);
  HttpResponse HandleRead(const HttpRequest& request);
  HttpResponse HandleVms(const HttpRequest& request);
  HttpResponse HandleObject(const HttpRequest& request);

  std::mutex m_mutex;
  PlatformFaults m_faults;
  std::map<std::string, PlatformRow> m_rows;
  std::map<std::string, std::string> m_objects;
  std::deque<DatedVmList> m_vm_lists;
  std::uint64_t m_list_number = 0;
  std::uint64_t m_last_version = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace cardamom
