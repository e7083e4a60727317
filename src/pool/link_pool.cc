#include "pool/link_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "async/notifier.h"

namespace cardamom {
namespace {

// A server that is at its connection limit may refuse a link shortly after one was closed, because
// it has not yet learned of that. The open is tried again once after the pause.
constexpr Millis kReplaceSettles{200};
constexpr Millis kRetryPause{20};
// A server that sent an unmatched answer is expected to send more for this long.
constexpr Millis kUnmatchedAnswersExpected{30'000};

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
      m_max_links(max_links) {
  m_choice.SetShare(max_links);
}

void LinkPool::SetMaxLinks(std::size_t max_links) {
  m_max_links = max_links;
  m_choice.SetShare(max_links);
}

bool LinkPool::HasIdleLink(const OrganisationName& organisation) const {
  return std::any_of(m_idle.begin(), m_idle.end(),
                     [&](const auto& link) { return link->organisation == organisation; });
}

bool LinkPool::OpensAtOnce(const OrganisationName& organisation) const {
  return m_choice.ShouldOpen(organisation, Duration::zero()) ||
         (m_eager && m_open_links < m_max_links && m_choice.MayUse(organisation));
}

bool LinkPool::CanAcquireAtOnce(const OrganisationName& organisation) const {
  if (HasIdleLink(organisation)) {
    return m_choice.MayUse(organisation);
  }
  // Without an idle link of its own, every idle link is one of another organisation.
  const bool has_room = m_open_links < m_max_links || !m_idle.empty();
  return has_room && OpensAtOnce(organisation);
}

std::unique_ptr<PooledLink> LinkPool::TakeIdle(const LinkFilter& accepts,
                                               const SessionValues& values) {
  for (;;) {
    auto best = m_idle.rend();
    for (auto it = m_idle.rbegin(); it != m_idle.rend(); ++it) {
      if (!accepts(**it)) {
        continue;
      }
      if ((*it)->values == values) {
        best = it;
        break;
      }
      best = best == m_idle.rend() ? it : best;
    }
    if (best == m_idle.rend()) {
      return nullptr;
    }
    auto link = std::move(*best);
    m_idle.erase(std::prev(best.base()));
    if (link->link->IsReusable() && !IsSpent(*link)) {
      return link;
    }
    link->link->Close();
    RecordClosed(*link);
  }
}

void LinkPool::SetOnUnmatchedAnswer(EndpointLink::UnmatchedAnswerHook hook) {
  m_on_unmatched_answer = [pool = weak_from_this(), hook = std::move(hook)](const char* reason) {
    if (const auto self = pool.lock()) {
      self->m_unmatched_answer_at = Clock::now();
    }
    hook(reason);
  };
}

bool LinkPool::IsSpent(const PooledLink& link) const {
  return m_unmatched_answer_at &&
         Clock::now() - *m_unmatched_answer_at < kUnmatchedAnswersExpected &&
         link.link->MayRepeatBegin();
}

std::unique_ptr<PooledLink> LinkPool::TakeOwnIdle(const OrganisationName& organisation,
                                                  const SessionValues& values) {
  return TakeIdle([&](const PooledLink& link) { return link.organisation == organisation; },
                  values);
}

std::unique_ptr<PooledLink> LinkPool::TakeIdleForControl(const SessionValues& values) {
  // Links of organisations are left to their statements as far as possible.
  auto link = TakeOwnIdle(OrganisationName(), values);
  while (!link && !m_idle.empty()) {
    const auto* oldest = m_idle.front().get();
    link = TakeIdle([&](const PooledLink& idle) { return &idle == oldest; }, values);
  }
  return link;
}

LinkPool::Lease LinkPool::StartUse(std::unique_ptr<PooledLink> link, LinkUse use) {
  link->use = use;
  m_choice.OnTaken(link->organisation, use, Clock::now());
  return Lease(shared_from_this(), std::move(link));
}

bool LinkPool::MakeRoom(const OrganisationName& organisation) {
  while (m_open_links >= m_max_links) {
    std::vector<IdleLink> idle;
    for (const auto& link : m_idle) {
      idle.push_back({link->organisation, link->last_used});
    }
    const auto victim = m_choice.ChooseVictim(idle, organisation, Clock::now());
    if (!victim) {
      return false;
    }
    const auto link = std::move(m_idle[*victim]);
    m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(*victim));
    Replace(*link);
  }
  return true;
}

void LinkPool::Replace(PooledLink& link) {
  link.link->CloseIdle();
  RecordClosed(link);
  m_replaced_at = Clock::now();
  ++m_counters->replaced;
}

void LinkPool::Reserve(const OrganisationName& organisation) {
  ++m_open_links;
  ++m_opening_links;
  m_choice.OnOpening(organisation);
}

void LinkPool::RecordClosed(const PooledLink& link) {
  --m_open_links;
  m_choice.OnClosed(link.organisation);
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::Acquire(OrganisationName organisation,
                                                            SessionValues values,
                                                            LinkUse use,
                                                            TimePoint deadline) {
  if (use == LinkUse::kControl) {
    if (auto idle = TakeIdleForControl(values)) {
      co_return StartUse(std::move(idle), use);
    }
    if (m_open_links > m_max_links) {
      co_return Error{ResultCode::kDeadlineExpired, "no link is free", Ran::kNo};
    }
    const OrganisationName none;
    Reserve(none);
    co_return co_await Open(none, use, deadline);
  }
  if (m_retired) {
    co_return Error{ResultCode::kTransport, "the server left", Ran::kNo};
  }
  if (m_choice.MayUse(organisation)) {
    if (auto idle = TakeOwnIdle(organisation, values)) {
      co_return StartUse(std::move(idle), use);
    }
  }
  if (OpensAtOnce(organisation) && MakeRoom(organisation)) {
    Reserve(organisation);
    co_return co_await Open(organisation, use, deadline);
  }
  co_return co_await WaitForLink(organisation, deadline);
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
    co_return StartUse(std::move(link), LinkUse::kControl);
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

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::Open(OrganisationName organisation,
                                                         LinkUse use,
                                                         TimePoint deadline) {
  const auto self = shared_from_this();
  const bool replaces = Clock::now() - m_replaced_at < kReplaceSettles;
  auto link = co_await m_opener(m_entry, organisation, deadline);
  if (!link && replaces && link.error().code == ResultCode::kOverloaded &&
      Clock::now() + kRetryPause < deadline) {
    co_await Sleep(kRetryPause);
    link = co_await m_opener(m_entry, organisation, deadline);
  }
  --m_opening_links;
  m_choice.OnOpened(organisation, link.has_value());
  if (!link) {
    --m_open_links;
    OnLinkClosed();
    co_return link.error();
  }
  auto pooled = std::make_unique<PooledLink>();
  pooled->link = std::move(*link);
  pooled->link->SetOnUnmatchedAnswer(m_on_unmatched_answer);
  pooled->organisation = organisation;
  co_return StartUse(std::move(pooled), use);
}

asio::awaitable<Outcome<LinkPool::Lease>> LinkPool::WaitForLink(OrganisationName organisation,
                                                                TimePoint deadline) {
  const auto self = shared_from_this();
  const auto waiter = std::make_shared<Waiter>(m_context);
  waiter->organisation = organisation;
  m_waiters.push_back(waiter);
  ++m_counters->waits;
  while (waiter->IsPending() && Clock::now() < deadline) {
    waiter->timer.expires_at(std::min(deadline, Clock::now() + LinkChoice::kOpenDelay));
    const auto [cancelled] = co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!cancelled && waiter->IsPending() && !m_retired) {
      Serve(*waiter, LinkChoice::kOpenDelay);
    }
  }
  m_waiters.remove(waiter);
  m_counters->waited += Clock::now() - waiter->since;
  if (waiter->link) {
    co_return Lease(self, std::move(waiter->link));
  }
  if (waiter->may_open) {
    co_return co_await Open(organisation, LinkUse::kStatement, deadline);
  }
  co_return Error{ResultCode::kDeadlineExpired,
                  waiter->refused ? "the server left" : "no link is free", Ran::kNo};
}

asio::awaitable<void> LinkPool::Warm(std::size_t count, TimePoint deadline) {
  const auto self = shared_from_this();
  const OrganisationName none;
  std::vector<Lease> opened;
  while (!m_retired && m_open_links < std::min(count, m_max_links)) {
    Reserve(none);
    auto lease = co_await Open(none, LinkUse::kControl, deadline);
    if (!lease) {
      co_return;
    }
    opened.push_back(std::move(*lease));
  }
}

std::vector<LinkWaiter> LinkPool::PendingStatements(std::vector<WaiterPtr>& waiters) const {
  std::vector<LinkWaiter> pending;
  for (const auto& waiter : m_waiters) {
    if (waiter->IsPendingStatement()) {
      pending.push_back({waiter->organisation, waiter->since});
      waiters.push_back(waiter);
    }
  }
  return pending;
}

void LinkPool::Give(Waiter& waiter, std::unique_ptr<PooledLink> link, LinkUse use) {
  link->use = use;
  m_choice.OnTaken(link->organisation, use, Clock::now());
  waiter.link = std::move(link);
  waiter.timer.cancel();
}

void LinkPool::LetOpen(Waiter& waiter) {
  Reserve(waiter.organisation);
  waiter.may_open = true;
  waiter.timer.cancel();
}

void LinkPool::Serve(Waiter& waiter, Duration waited) {
  if (m_choice.IsShared() && m_choice.MayUse(waiter.organisation)) {
    if (auto idle = TakeOwnIdle(waiter.organisation, SessionValues())) {
      Give(waiter, std::move(idle), LinkUse::kStatement);
      return;
    }
  }
  if (m_choice.ShouldOpen(waiter.organisation, waited) && MakeRoom(waiter.organisation)) {
    LetOpen(waiter);
  }
}

void LinkPool::ServeWaiters() {
  if (!m_choice.IsShared()) {
    return;
  }
  for (const auto& waiter : m_waiters) {
    if (waiter->IsPendingStatement()) {
      Serve(*waiter, Clock::now() - waiter->since);
    }
  }
}

bool LinkPool::Hand(std::unique_ptr<PooledLink>& link) {
  for (const auto& waiter : m_waiters) {
    if (waiter->IsPending() && waiter->opened_before && link->opened_at < *waiter->opened_before) {
      Give(*waiter, std::move(link), LinkUse::kControl);
      return true;
    }
  }
  std::vector<WaiterPtr> waiters;
  const auto pending = PendingStatements(waiters);
  const auto chosen = m_choice.ChooseWaiter(link->organisation, pending, Clock::now());
  if (!chosen) {
    return false;
  }
  auto& waiter = *waiters[*chosen];
  if (waiter.organisation == link->organisation) {
    Give(waiter, std::move(link), LinkUse::kStatement);
    return true;
  }
  Replace(*link);
  if (m_open_links < m_max_links) {
    LetOpen(waiter);
  }
  return true;
}

void LinkPool::Return(std::unique_ptr<PooledLink> link) {
  m_choice.OnReturned(link->organisation, link->use);
  if (link->use == LinkUse::kStatement) {
    link->last_used = Clock::now();
  }
  if (!link->link->IsOpen() || m_retired || IsSpent(*link) ||
      (m_open_links > m_max_links && m_waiters.empty())) {
    link->link->Close();
    RecordClosed(*link);
    OnLinkClosed();
    return;
  }
  if (!Hand(link)) {
    if (m_choice.IsShared() && m_open_links > m_max_links) {
      link->link->CloseIdle();
      RecordClosed(*link);
    } else {
      m_idle.push_back(std::move(link));
    }
  }
  ServeWaiters();
}

void LinkPool::OnLinkClosed() {
  if (m_retired || m_open_links >= m_max_links) {
    return;
  }
  std::vector<WaiterPtr> waiters;
  const auto pending = PendingStatements(waiters);
  if (const auto chosen = m_choice.ChooseOpener(pending)) {
    LetOpen(*waiters[*chosen]);
  }
}

void LinkPool::CloseIdle() {
  for (const auto& link : m_idle) {
    link->link->Close();
    RecordClosed(*link);
  }
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
