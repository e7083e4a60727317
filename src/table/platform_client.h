// Client of the platform, over the HTTP interface of docs/PLATFORM-CONTRACT.md.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/connection_pool.h"
#include "table/platform_messages.h"

namespace cardamom {

// Thread safe. Errors: kPlatformUnavailable; for Transact, `ran` of the error shows whether the
// change may have taken effect. Precondition of all operations: the calling coroutine runs on a
// strand.
class PlatformClient {
 public:
  // `sender` is the name of this process, which the header Cardamom-From carries. `context` must
  // outlive this object.
  PlatformClient(asio::io_context& context, const Address& address, std::string sender);

  // Changes rows atomically. Rows with other versions than expected are no error: see `applied`.
  asio::awaitable<Outcome<TransactAnswer>> Transact(TransactRequest request, TimePoint deadline);
  // Reads the rows of the keys and of all keys with the prefixes.
  asio::awaitable<Outcome<TableReadAnswer>> Read(TableReadRequest request, TimePoint deadline);

  // The VM list and its ETag.
  struct TaggedVmList {
    std::string etag;
    // Empty if the list still has the ETag `known_etag`.
    std::optional<VmList> list;
  };
  // Requests the VM list, unless it still has the ETag `known_etag`; an empty tag always requests
  // it. Malformed entries, such as one without an id or with the id of an earlier one, are left
  // out; a list of which nothing is left is an error.
  asio::awaitable<Outcome<TaggedVmList>> ListVms(std::string known_etag, TimePoint deadline);

 private:
  asio::awaitable<Outcome<HttpResponse>> Send(HttpRequest request, TimePoint deadline);

  std::string m_sender;
  std::shared_ptr<ConnectionPool> m_pool;
};

}  // namespace cardamom
