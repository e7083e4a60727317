// The platform stand-in: table, object store and VM list of the platform contract, for tests.
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

// Faults that the platform stand-in injects, set over POST /admin/faults.
struct PlatformFaults {
  // Requests to the table and the object store fail. The VM list is a separate service, see
  // `list_outage`.
  bool outage = false;
  // Requests for the VM list fail.
  bool list_outage = false;
  // Delay before each request takes effect.
  std::int64_t delay_ms = 0;
  // Number of responses to table transactions that are dropped after the request was processed.
  std::int64_t lose_answers = 0;
  // Delay before a change of the VM list becomes visible.
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
  // Listens at once. Errors: kListenFailed. `context` must outlive the server and must not run
  // after the server is destroyed.
  static Outcome<std::unique_ptr<PlatformServer>> Create(asio::io_context& context,
                                                         const Address& listen);

  // The address in use, with the port that the kernel chose.
  const Address& address() const { return m_http->address(); }

 private:
  // A VM list with the time at which it was set over POST /admin/vms.
  struct TimestampedVmList {
    TimePoint set_at;
    VmList list;
  };

  PlatformServer() = default;

  asio::awaitable<HttpResponse> Handle(HttpRequest request);
  // Requires m_mutex.
  HttpResponse Route(const HttpRequest& request);
  HttpResponse HandleAdmin(const HttpRequest& request);
  // POST /admin/copy keeps a copy of the table; POST /admin/restore replaces the table by it, as a
  // store does that is restored from a backup: versions are given out again, and the era rises.
  HttpResponse HandleCopy(const HttpRequest& request);
  // Each of these requires m_mutex.
  HttpResponse HandleTransact(const HttpRequest& request);
  HttpResponse HandleRead(const HttpRequest& request);
  HttpResponse HandleVms(const HttpRequest& request);
  HttpResponse HandleObject(const HttpRequest& request);

  std::mutex m_mutex;
  PlatformFaults m_faults;
  std::map<std::string, PlatformRow> m_rows;
  std::map<std::string, std::string> m_objects;
  // The visible list, then those that are set but not visible yet.
  std::deque<TimestampedVmList> m_vm_lists;
  // Number of the visible list, used as its ETag.
  std::uint64_t m_vm_list_version = 0;
  std::uint64_t m_last_version = 0;
  std::uint64_t m_era = 1;
  struct Copy {
    std::map<std::string, PlatformRow> rows;
    std::uint64_t last_version = 0;
  };
  Copy m_copy;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace cardamom
