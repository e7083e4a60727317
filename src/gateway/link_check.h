// Confirms that the replies of a link are in step with its requests.
#pragma once

#include "pool/link_pool.h"

namespace cardamom {

inline constexpr Millis kConfirmTimeout{300};

// Whether a reply of `batch` may be the copy of an earlier one. Pure and thread safe.
bool IsAnyAmbiguous(const BatchReply& batch);

// Opens and ends an empty transaction, which takes no slot, and returns whether its replies and
// nothing else arrived by `deadline`. Every reply to a request sent before has then been read.
// Otherwise closes the link. Returns false if the lease holds no link. Precondition: no transaction
// is open. Must be called on the thread of the pool.
asio::awaitable<bool> ConfirmLink(LinkPool::Lease& lease, TimePoint deadline);

// Confirms the link of `lease`, and then returns it to its pool unless it was closed. Does not
// wait.
void ConfirmInBackground(asio::io_context& context, LinkPool::Lease lease);

}  // namespace cardamom
