#include "pool/link_choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cardamom {
namespace {

// An organisation may use this many times the number of links that nobody uses.
constexpr std::size_t kUsedPerUnused = 4;
// A link is kept for this long after its use if another one can be closed. Statements of one
// session often follow each other within this time.
constexpr Millis kJustUsed{200};
// Links that were used at the same time in one to two such periods are needed. Under the ordinary
// load an idle link is closed after about 4 s, so a longer memory would not change the choice.
constexpr Millis kPeriod{2000};
// The last link of an organisation is needed as likely as a statement arrives within this time.
constexpr std::chrono::duration<double> kNextUse{4};
// Time constant of the rate of statements. In a simulation of 87 organisations, whose shares of the
// load are as 1/rank, 65% of the statements found a link with 30 s, 62% with 10 s, and 55% if the
// least recently used link is closed whatever its organisation.
constexpr std::chrono::duration<double> kRateMemory{30};
// Organisations without a link are forgotten below this weight, 90 s after a single statement.
constexpr double kForgotten = 0.05;
// A waiter of an organisation that uses fewer links goes first after this time. Opening a link
// takes a server 12 ms, so links do not change hands for shorter waits.
constexpr Millis kFairWait{20};
// A waiter of another organisation goes first if it has waited longer by this much, which is the
// time of a long statement.
constexpr Millis kClearlyLonger{50};

}  // namespace

const LinkChoice::Links& LinkChoice::Find(const OrganisationName& organisation) const {
  static const Links none;
  const auto it = m_links.find(organisation);
  return it == m_links.end() ? none : it->second;
}

LinkChoice::Links& LinkChoice::Get(const OrganisationName& organisation) {
  m_shared = m_shared || !organisation.value().empty();
  return m_links[organisation];
}

std::size_t LinkChoice::Used(const OrganisationName& organisation) const {
  const auto& links = Find(organisation);
  return links.used + links.opening;
}

void LinkChoice::AdvancePeriod(Links& links, TimePoint now) {
  if (now - links.period_start >= 2 * kPeriod) {
    links.previous_peak = links.used;
  } else if (now - links.period_start >= kPeriod) {
    links.previous_peak = links.peak;
  } else {
    return;
  }
  links.peak = links.used;
  links.period_start = now;
}

double LinkChoice::RecentStatements(const Links& links, TimePoint now) {
  return links.recent_statements * std::exp(-((now - links.last_statement) / kRateMemory));
}

double LinkChoice::Excess(const OrganisationName& organisation, TimePoint now) {
  auto& links = Get(organisation);
  AdvancePeriod(links, now);
  const auto used_together = std::max({links.peak, links.previous_peak, Used(organisation)});
  const double expected = RecentStatements(links, now) * (kNextUse / kRateMemory);
  const double need =
      (used_together > 1 ? static_cast<double>(used_together - 1) : 0) + 1 - std::exp(-expected);
  return static_cast<double>(links.open) - need;
}

void LinkChoice::OnOpening(const OrganisationName& organisation) {
  auto& links = Get(organisation);
  ++links.open;
  ++links.opening;
  ++m_open;
  ++m_used;
}

void LinkChoice::OnOpened(const OrganisationName& organisation, bool succeeded) {
  --Get(organisation).opening;
  --m_used;
  if (!succeeded) {
    OnClosed(organisation);
  }
}

void LinkChoice::OnTaken(const OrganisationName& organisation, LinkUse use, TimePoint now) {
  auto& links = Get(organisation);
  if (use == LinkUse::kControl) {
    ++links.lent;
    return;
  }
  AdvancePeriod(links, now);
  links.recent_statements = RecentStatements(links, now) + 1;
  links.last_statement = now;
  ++links.used;
  ++m_used;
  links.peak = std::max(links.peak, links.used);
}

void LinkChoice::OnReturned(const OrganisationName& organisation, LinkUse use) {
  auto& links = Get(organisation);
  if (use == LinkUse::kControl) {
    --links.lent;
    return;
  }
  --links.used;
  --m_used;
}

void LinkChoice::OnClosed(const OrganisationName& organisation) {
  --Get(organisation).open;
  --m_open;
}

bool LinkChoice::HasLink(const OrganisationName& organisation) const {
  if (!IsShared(organisation)) {
    return m_open > 0;
  }
  const auto& links = Find(organisation);
  return links.open > links.lent;
}

bool LinkChoice::MayUse(const OrganisationName& organisation) const {
  const auto used = Used(organisation);
  if (!IsShared(organisation) || used == 0) {
    return true;
  }
  return used < kUsedPerUnused * (m_share - std::min(m_share, m_used));
}

bool LinkChoice::ShouldOpen(const OrganisationName& organisation, Duration waited) const {
  if (!MayUse(organisation)) {
    return false;
  }
  return !HasLink(organisation) || (waited >= kOpenDelay && Find(organisation).opening == 0);
}

std::optional<std::size_t> LinkChoice::ChooseVictim(const std::vector<IdleLink>& idle,
                                                    const OrganisationName& organisation,
                                                    TimePoint now) {
  std::erase_if(m_links, [&](const auto& entry) {
    return entry.second.open == 0 && RecentStatements(entry.second, now) < kForgotten;
  });
  const auto order = [&](const IdleLink& link) {
    const bool just_used = now - link.last_used < kJustUsed;
    return std::tuple(!just_used, Excess(link.organisation, now), now - link.last_used);
  };
  std::optional<std::size_t> victim;
  for (std::size_t i = 0; i < idle.size(); ++i) {
    const bool is_other = idle[i].organisation != organisation;
    if (is_other && (!victim || order(idle[i]) > order(idle[*victim]))) {
      victim = i;
    }
  }
  return victim;
}

std::optional<std::size_t> LinkChoice::ChooseWaiter(const OrganisationName& organisation,
                                                    const std::vector<LinkWaiter>& waiters,
                                                    TimePoint now) const {
  std::optional<std::size_t> own;
  std::optional<std::size_t> other;
  for (std::size_t i = 0; i < waiters.size(); ++i) {
    const auto& waiter = waiters[i];
    if (waiter.organisation == organisation) {
      own = !own && MayUse(organisation) ? i : own;
    } else if (ShouldOpen(waiter.organisation, now - waiter.since) &&
               (!other || Used(waiter.organisation) < Used(waiters[*other].organisation))) {
      other = i;
    }
  }
  if (!own || !other) {
    return own;
  }
  const auto own_used = Used(organisation);
  const auto other_used = Used(waiters[*other].organisation);
  const bool waits_with_less = other_used < own_used && now - waiters[*other].since >= kFairWait;
  const bool waits_clearly_longer =
      other_used <= own_used && waiters[*other].since + kClearlyLonger <= waiters[*own].since;
  return waits_with_less || waits_clearly_longer ? other : own;
}

std::optional<std::size_t> LinkChoice::ChooseOpener(const std::vector<LinkWaiter>& waiters) const {
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < waiters.size(); ++i) {
    const auto& waiter = waiters[i].organisation;
    if (MayUse(waiter) && (!chosen || Used(waiter) < Used(waiters[*chosen].organisation))) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace cardamom
