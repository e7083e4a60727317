// A connection to one database server, and what the proxy asks on it.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "cardamom/error.h"
#include "core/clock.h"
#include "directory/endpoint_entry.h"
#include "statement/statement.h"

namespace cardamom {

namespace asio = boost::asio;

enum class EndpointOperation {
  // The caller's text, unchanged.
  kForward,
  // A prepared statement under the proxy's own name for it.
  kExecute,
  kBegin,
  kBeginReadOnly,
  kRollback,
  kSetValue,
  kPrepare,
  // Clears session values and prepared names.
  kDiscard,
  kStatus,
  // Stops a replica from receiving, at `term`.
  kPause,
  kResume,
  // Makes a primary of a lower term than `term` a replica.
  kStepDown,
};

// A value type.
struct EndpointRequest {
  EndpointOperation operation = EndpointOperation::kForward;
  // Empty for what the proxy asks on its own account.
  RequestId id;
  std::string text;
  std::string name;
  std::string value;
  Access access = Access::kRead;
  // The server refuses as kLagging unless its log holds this position.
  std::optional<Position> after;
  Term term;
};

// What a server says of itself. A value type.
struct EndpointStatus {
  bool is_primary = false;
  Term term;
  // Last position received, applied or not.
  Position received;
  // The term at which the server was paused; 0 if it was not.
  Term paused_at;
};

// A reply and, to a status request, the status.
struct EndpointReply {
  Reply reply;
  std::optional<EndpointStatus> status;
};

// The replies to a batch of requests, in their order. Fewer than requests if the link failed.
struct BatchReply {
  std::vector<EndpointReply> replies;
  // Set if the link failed; `ran` says whether requests without a reply may have run.
  std::optional<Error> failure;
};

// Not thread safe: one batch at a time. A link that failed is never used again.
class EndpointLink {
 public:
  EndpointLink() = default;
  virtual ~EndpointLink() = default;
  EndpointLink(const EndpointLink&) = delete;
  EndpointLink& operator=(const EndpointLink&) = delete;

  // Sends all requests in one write and reads their replies until `deadline`. A request that the
  // server refuses does not stop the ones behind it. Precondition: IsOpen().
  virtual asio::awaitable<BatchReply> Run(std::vector<EndpointRequest> requests,
                                          TimePoint deadline) = 0;

  // Whether the link can carry another batch.
  virtual bool IsOpen() const = 0;

  // Whether an idle link is fit for use: the server has not closed it meanwhile.
  virtual bool IsReusable() = 0;

  // Closes the link at once; the server rolls back what it had open.
  virtual void Close() = 0;
};

// Opens a link. Errors: kConnectionRefused, kTransport, kNoAnswer, kOverloaded (the server is alive
// but at its connection limit, or too busy to greet) and kBadAnswer (another server answers at that
// address), all with Ran::kNo.
using LinkOpener =
    std::function<asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>>(EndpointEntry entry,
                                                                          TimePoint deadline)>;

}  // namespace cardamom
