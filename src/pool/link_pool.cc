#include "pool/link_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamom {
namespace {

// Time that a request waits for a link before it opens one. A link usually becomes free within the
// time of a statement.
constexpr Millis kOpenDelay{40};

}  // namespace

LinkPool::Lease::Lease(std::shared_ptr<LinkPool> pool, std::unique_ptr<PooledLink> link)
    : m_pool(std::move(pool)), m_link(std::move(link)) {}

LinkPool::Lease::~Lease() {
  Release();
}

LinkPool::Lease& LinkPool::Lease::operator=(Lease&& other) noexcept {
  if (this != &other) {
    Release();
    m_pool = std::move(other.m_pool);
    m_link = std::move(other.m_link);
  }
  return *this;
}

void LinkPool::Lease::Discard() {
  if (m_link) {
    m_link->link->Close();
    Release();
  }
}

void LinkPool::Lease::Release() {
  if (m_link) {
    const auto pool = std::move(m_pool);
    pool->Return(std::move(m_link));
  }
}

LinkPool::LinkPool(boost::asio::io_context& context,
                   EndpointEntry entry,
                   LinkOpener opener,
                   std::size_t max_links)
    : m_context(context),
      m_entry(std::move(entry)),
      m_opener(std::move(opener)),
      m_max_links(max_links) {}

std::unique_ptr<PooledLink> LinkPool::TakeIdle(const SessionValues& values) {
  while (!m_idle.empty()) {
    auto best = std::find_if(m_idle.rbegin(), m_idle.rend(),
                             [&](const auto& link) { return link->values == values; });
    auto place = best == m_idle.rend() ? std::prev(m_idle.end()) : std::prev(best.base());
    auto link = std::move(*place);
    m_idle.erase(place);
    if (link->link->IsReusable()) {
      return link;
    }
    link->link->Close();
    --m_open_links;
  }
  return nullptr;
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::Acquire(SessionValues values,
                                                            LinkUse use,
                                                            TimePoint deadline) {
  if (m_retired && use != LinkUse::kControl) {
    co_return Error{ResultCode::kTransport, "the server left", Ran::kNo};
  }
  if (auto idle = TakeIdle(values)) {
    co_return Lease(shared_from_this(), std::move(idle));
  }
  if (use == LinkUse::kControl) {
    if (m_open_links > m_max_links) {
      co_return Error{ResultCode::kDeadlineExpired, "no link is free", Ran::kNo};
    }
    ++m_open_links;
    co_return co_await Open(deadline);
  }
  if (MayOpenAtOnce()) {
    ++m_open_links;
    co_return co_await Open(deadline);
  }
  co_return co_await WaitForLink(deadline);
}

std::unique_ptr<PooledLink> LinkPool::TakeOpenedBefore(TimePoint time) {
  const auto place = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto& link) {
    return link->opened_at < time && link->link->IsReusable();
  });
  if (place == m_idle.end()) {
    return nullptr;
  }
  auto link = std::move(*place);
  m_idle.erase(place);
  return link;
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::AcquireOpenedBefore(TimePoint time,
                                                                        TimePoint deadline) {
  const auto self = shared_from_this();
  if (auto link = TakeOpenedBefore(time)) {
    co_return Lease(self, std::move(link));
  }
  const auto waiter = std::make_shared<Waiter>(m_context);
  waiter->opened_before = time;
  // Takeovers are served before statements.
  m_waiters.push_front(waiter);
  waiter->timer.expires_at(deadline);
  co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  m_waiters.remove(waiter);
  if (waiter->link) {
    co_return Lease(self, std::move(waiter->link));
  }
  co_return Error{ResultCode::kDeadlineExpired, "no link of that age is free", Ran::kNo};
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::Open(TimePoint deadline) {
  const auto self = shared_from_this();
  ++m_opening_links;
  auto link = co_await m_opener(m_entry, OrganisationName(), deadline);
  --m_opening_links;
  if (!link) {
    --m_open_links;
    OnLinkClosed();
    co_return link.error();
  }
  auto pooled = std::make_unique<PooledLink>();
  pooled->link = std::move(*link);
  co_return Lease(self, std::move(pooled));
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::WaitForLink(TimePoint deadline) {
  const auto self = shared_from_this();
  const auto waiter = std::make_shared<Waiter>(m_context);
  m_waiters.push_back(waiter);
  while (!waiter->link && !waiter->may_open && !waiter->refused && Clock::now() < deadline) {
    waiter->timer.expires_at(std::min(deadline, Clock::now() + kOpenDelay));
    const auto [cancelled] = co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const bool decided = waiter->link || waiter->may_open || waiter->refused;
    if (!cancelled && !decided && !m_retired && m_opening_links == 0 &&
        m_open_links < m_max_links) {
      ++m_open_links;
      waiter->may_open = true;
    }
  }
  m_waiters.remove(waiter);
  if (waiter->link) {
    co_return Lease(self, std::move(waiter->link));
  }
  if (waiter->may_open) {
    co_return co_await Open(deadline);
  }
  co_return Error{ResultCode::kDeadlineExpired,
                  waiter->refused ? "the server left" : "no link is free", Ran::kNo};
}

asio::awaitable<void> LinkPool::Warm(std::size_t count, TimePoint deadline) {
  const auto self = shared_from_this();
  std::vector<Lease> opened;
  while (!m_retired && m_open_links < std::min(count, m_max_links)) {
    ++m_open_links;
    auto lease = co_await Open(deadline);
    if (!lease) {
      co_return;
    }
    opened.push_back(std::move(*lease));
  }
}

void LinkPool::Return(std::unique_ptr<PooledLink> link) {
  if (!link->link->IsOpen() || m_retired || (m_open_links > m_max_links && m_waiters.empty())) {
    link->link->Close();
    --m_open_links;
    OnLinkClosed();
    return;
  }
  for (const auto& waiter : m_waiters) {
    if (waiter->IsPending() && waiter->Accepts(*link)) {
      waiter->link = std::move(link);
      waiter->timer.cancel();
      return;
    }
  }
  m_idle.push_back(std::move(link));
}

void LinkPool::OnLinkClosed() {
  if (m_retired || m_open_links >= m_max_links) {
    return;
  }
  for (const auto& waiter : m_waiters) {
    if (waiter->IsPending() && !waiter->opened_before) {
      waiter->may_open = true;
      ++m_open_links;
      waiter->timer.cancel();
      return;
    }
  }
}

void LinkPool::CloseIdle() {
  for (const auto& link : m_idle) {
    link->link->Close();
  }
  m_open_links -= m_idle.size();
  m_idle.clear();
}

void LinkPool::Retire() {
  m_retired = true;
  CloseIdle();
  for (const auto& waiter : m_waiters) {
    if (!waiter->link && !waiter->may_open) {
      waiter->refused = true;
      waiter->timer.cancel();
    }
  }
}

}  // namespace cardamom
