// Decides how the links of one pool are shared by organisations.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "organisation/organisation.h"

namespace cardamom {

// What a link is used for.
enum class LinkUse {
  kStatement,
  // Probes and failover: may open one link above the share, and never wait for a link.
  kControl,
};

// An idle link. A value type.
struct IdleLink {
  OrganisationName organisation;
  // When a statement last used the link; TimePoint() if none has.
  TimePoint last_used;
};

// A statement that waits for a link. A value type.
struct LinkWaiter {
  OrganisationName organisation;
  TimePoint since;
};

// A pool has about 18 links for up to 87 organisations, each of which needs links of its own. Most
// organisations run a statement every few seconds or less, so links move between organisations all
// the time: the one that is least likely to be missed is closed. Statements without an organisation
// count as those of the organisation with the empty name. As long as there are no others, the rules
// that compare organisations have no effect.
//
// A pure decision: the pool reports every change of a link. Not thread safe.
class LinkChoice {
 public:
  // Time that a statement waits for a link of its organisation before another one is opened. A link
  // usually becomes free within the time of a statement.
  static constexpr Millis kOpenDelay{40};

  void SetShare(std::size_t links) { m_share = links; }

  // A link is being opened; opening it has ended; a link was taken and returned; a link that was
  // not in use was closed.
  void OnOpening(const OrganisationName& organisation);
  void OnOpened(const OrganisationName& organisation, bool succeeded);
  void OnTaken(const OrganisationName& organisation, LinkUse use, TimePoint now);
  void OnReturned(const OrganisationName& organisation, LinkUse use);
  void OnClosed(const OrganisationName& organisation);

  // Whether the pool serves statements of organisations, `organisation` included.
  bool IsShared(const OrganisationName& organisation = {}) const {
    return m_shared || !organisation.value().empty();
  }

  // Whether `organisation` has a link or one is being opened for it. Links of a shared pool that a
  // control request uses do not count: the request may wait for a server that gives no answer.
  bool HasLink(const OrganisationName& organisation) const;

  // Whether a statement of `organisation` may use one more link. An organisation may use links
  // until it has four times as many as nobody uses. A large one thus leaves some links to others
  // even if open transactions hold its links.
  bool MayUse(const OrganisationName& organisation) const;

  // Whether a link should be opened for a statement of `organisation` that has waited for `waited`,
  // if there is room.
  bool ShouldOpen(const OrganisationName& organisation, Duration waited) const;

  // The idle link to close in favour of `organisation`: the least recently used one of the
  // organisation that holds most beyond its need. A link that was used just now is chosen only if
  // every idle link was. Returns nullopt if no other organisation has an idle link.
  std::optional<std::size_t> ChooseVictim(const std::vector<IdleLink>& idle,
                                          const OrganisationName& organisation,
                                          TimePoint now);

  // Which of `waiters`, in order of arrival, gets a link that `organisation` returned. One of
  // another organisation cannot use the link: it is closed, and that waiter opens one. Returns
  // nullopt if the link should stay open.
  std::optional<std::size_t> ChooseWaiter(const OrganisationName& organisation,
                                          const std::vector<LinkWaiter>& waiters,
                                          TimePoint now) const;

  // Which of `waiters`, in order of arrival, opens a link in place of one that failed.
  std::optional<std::size_t> ChooseOpener(const std::vector<LinkWaiter>& waiters) const;

 private:
  struct Links {
    // Links open or being opened, and those of them that are being opened, used by statements, and
    // used by control requests.
    std::size_t open = 0;
    std::size_t opening = 0;
    std::size_t used = 0;
    std::size_t lent = 0;
    // Greatest number used at the same time in the current and the previous period.
    std::size_t peak = 0;
    std::size_t previous_peak = 0;
    TimePoint period_start;
    // Number of statements, each with a weight that decays with its age, as of the last one.
    double recent_statements = 0;
    TimePoint last_statement;
  };

  const Links& Find(const OrganisationName& organisation) const;
  Links& Get(const OrganisationName& organisation);
  // Links that statements of `organisation` use, or are about to.
  std::size_t Used(const OrganisationName& organisation) const;
  static void AdvancePeriod(Links& links, TimePoint now);
  static double RecentStatements(const Links& links, TimePoint now);
  // Links of `organisation` beyond the number that it is expected to use within a few seconds.
  double Excess(const OrganisationName& organisation, TimePoint now);

  std::size_t m_share = 0;
  bool m_shared = false;
  std::size_t m_open = 0;
  std::size_t m_used = 0;
  std::map<OrganisationName, Links> m_links;
};

}  // namespace cardamom
