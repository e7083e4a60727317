#include "failover/acknowledgement_hold.h"

#include <algorithm>

namespace cardamom {
namespace {

// An acknowledgement arrives within the time limit of its statement, in which a group has few
// promotions.
constexpr std::size_t kMaxPromotions = 8;

}  // namespace

bool AcknowledgementHold::Hold(std::uint64_t token, BootTime now) {
  if (token < m_token || token <= m_released) {
    return false;
  }
  m_token = token;
  m_held_since = now;
  return true;
}

bool AcknowledgementHold::Release(const HoldRelease& release) {
  if (release.token < m_token) {
    return false;
  }
  m_token = release.token;
  m_released = release.token;
  m_held_since.reset();
  m_confirmed_term = std::max(m_confirmed_term, release.term);
  if (release.base) {
    m_promotions.push_back({release.term, *release.base});
    if (m_promotions.size() > kMaxPromotions) {
      m_promotions.erase(m_promotions.begin());
    }
    m_passed_on = StandingPart(m_passed_on);
    m_log_end = StandingPart(m_log_end);
  }
  return true;
}

bool AcknowledgementHold::IsHeld(BootTime now) const {
  return m_held_since && now - *m_held_since < kLongestHold;
}

bool AcknowledgementHold::IsLeftBehind(BootTime now) const {
  return IsHeld(now) && now - *m_held_since >= kHoldWithoutNews;
}

std::optional<BootTime> AcknowledgementHold::HeldUntil() const {
  return m_held_since ? std::optional(*m_held_since + kLongestHold) : std::nullopt;
}

AcknowledgementVerdict AcknowledgementHold::Judge(const AcknowledgedCommit& commit,
                                                  bool has_waited,
                                                  BootTime now) const {
  if (IsHeld(now)) {
    return AcknowledgementVerdict::kWait;
  }
  if (m_held_since && has_waited) {
    return AcknowledgementVerdict::kInDoubt;
  }
  const auto position = commit.at_most;
  if (position.term >= m_confirmed_term) {
    return AcknowledgementVerdict::kPassOn;
  }
  // Logs that end in the same term are prefixes of one another. Of a log that ends in a later term
  // nothing is known: this proxy may have missed a promotion in between.
  const bool is_covered =
      StandingPart(position) == position &&
      std::any_of(m_promotions.begin(), m_promotions.end(), [&](const Promotion& promotion) {
        return position.term < promotion.term && position.term == promotion.base.term;
      });
  return is_covered ? AcknowledgementVerdict::kPassOn : AcknowledgementVerdict::kInDoubt;
}

void AcknowledgementHold::OnPassedOn(const AcknowledgedCommit& commit) {
  m_passed_on = std::max(m_passed_on, commit.at_least);
  m_log_end = std::max(m_log_end, commit.at_most);
}

Position AcknowledgementHold::StandingPart(Position position) const {
  for (const auto& promotion : m_promotions) {
    if (position.term < promotion.term) {
      position = std::min(position, promotion.base);
    }
  }
  return position;
}

}  // namespace cardamom
