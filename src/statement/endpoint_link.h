// A link (a connection to one database server) and the requests that the proxy sends on it.
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
#include "organisation/organisation.h"
#include "statement/statement.h"

namespace cardamom {

namespace asio = boost::asio;

enum class EndpointOperation {
  // Forwards the caller's text unchanged.
  kForward,
  // Executes a prepared statement under the name that the proxy has given it.
  kExecute,
  kBegin,
  kBeginReadOnly,
  kRollback,
  kSetValue,
  kPrepare,
  // Clears session values and prepared statements.
  kDiscard,
  kStatus,
  // Pauses a replica at `term`: it stops receiving log entries.
  kPause,
  // Lets a paused replica receive log entries again.
  kResume,
  // Demotes a primary of a term lower than `term` to a replica.
  kStepDown,
};

// A value type.
struct EndpointRequest {
  EndpointOperation operation = EndpointOperation::kForward;
  // Empty for requests of the proxy itself.
  RequestId id;
  std::string text;
  std::string name;
  std::string value;
  Access access = Access::kRead;
  // The caller's statement ends its transaction if it succeeds.
  bool ends_transaction = false;
  // The server refuses the request with kLagging unless its log holds this position.
  std::optional<Position> min_position;
  Term term;
};

// The state that a server reports of itself. A value type.
struct EndpointStatus {
  bool is_primary = false;
  Term term;
  // Last position received, applied or not.
  Position received;
  // The term at which the server was paused; 0 if it was not.
  Term paused_at;
};

// A reply, and the status if the request was kStatus, kPause, kResume or kStepDown.
struct EndpointReply {
  Reply reply;
  std::optional<EndpointStatus> status;
  // The reply may be the copy of an earlier one, and the reply to the request still to come. The
  // link must be confirmed or closed; see ConfirmLink.
  bool is_ambiguous = false;
};

// The replies to a batch of requests, in their order; fewer than requests if the link failed.
struct BatchReply {
  std::vector<EndpointReply> replies;
  // Set if the link failed; `ran` indicates whether requests without a reply may have run.
  std::optional<Error> failure;
  // Copies of earlier replies that were read and dropped in place of the replies, or had arrived
  // after them.
  std::size_t surplus = 0;
};

// Not thread safe: carries one batch at a time. A link that failed must not be used again.
class EndpointLink {
 public:
  EndpointLink() = default;
  virtual ~EndpointLink() = default;
  EndpointLink(const EndpointLink&) = delete;
  EndpointLink& operator=(const EndpointLink&) = delete;

  // Sends all requests in one write and reads their replies until `deadline`. If the server refuses
  // a request, it still runs the ones after it. A reply that can only be the copy of an earlier one
  // is dropped. Precondition: IsOpen(). Errors: kTransport, kNoAnswer and kUnmatchedAnswer; with
  // Ran::kNo if nothing was sent.
  virtual asio::awaitable<BatchReply> Run(std::vector<EndpointRequest> requests,
                                          TimePoint deadline) = 0;

  // Whether the link can carry another batch.
  virtual bool IsOpen() const = 0;

  // Whether an idle link can still be used: the server has not closed it since its last batch.
  virtual bool IsReusable() = 0;

  // Closes the link at once; the server rolls back a transaction that is open on it.
  virtual void Close() = 0;

  // Whether the link has read a reply that the reply to a BEGIN cannot be told from.
  virtual bool MayRepeatBegin() const { return false; }

  // Called with one of a fixed set of reasons when the server sends an answer that belongs to no
  // request. The hook must not use the link.
  using UnmatchedAnswerHook = std::function<void(const char* reason)>;
  virtual void SetOnUnmatchedAnswer(UnmatchedAnswerHook /*hook*/) {}

  // Ends an idle link so that the server frees its place as soon as it learns of it.
  virtual void CloseIdle() { Close(); }
};

// Opens a link that serves one organisation for its life, or none if `organisation` is empty.
// Errors: kConnectionRefused, kTransport, kNoAnswer, kOverloaded (the server is alive but at its
// connection limit, or too busy to complete the handshake) and kBadAnswer (another server answers
// at that address), all with Ran::kNo.
using LinkOpener = std::function<asio::awaitable<Outcome<std::unique_ptr<EndpointLink>>>(
    EndpointEntry entry,
    OrganisationName organisation,
    TimePoint deadline)>;

}  // namespace cardamom
