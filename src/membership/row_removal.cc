#include "membership/row_removal.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace cardamom {
namespace {

// Most VMs pinged at the same time.
constexpr std::size_t kMaxBatch = 32;
// Witnesses that must confirm that a VM is silent before the lasting silence is over.
constexpr std::size_t kMinConfirmations = 2;
// Witnesses that are taken from the failure domain of the silent VM, if it has others.
constexpr std::size_t kWitnessesOfDomain = 2;
constexpr std::uint64_t kFractions = 1000;

std::uint64_t Hash(const std::string& text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::tuple<std::string, std::uint64_t, std::string> RingKey(const VmEntry& vm) {
  return {vm.domain.value(), Hash(vm.id.value()), vm.id.value()};
}

}  // namespace

RowRemoval::RowRemoval(const VmEntry& self, const RowRemovalPolicy& policy)
    : m_self(self), m_policy(policy) {}

void RowRemoval::SetRows(std::vector<MemberRow> rows) {
  std::erase_if(rows, [this](const MemberRow& row) { return row.entry.id == m_self.id; });
  std::map<std::tuple<std::string, std::uint64_t, std::string>, MemberRow> ordered;
  for (auto& row : rows) {
    auto key = RingKey(row.entry);
    ordered.emplace(std::move(key), std::move(row));
  }
  const auto after_self = ordered.upper_bound(RingKey(m_self));
  m_ring.clear();
  for (auto it = after_self; it != ordered.end(); ++it) {
    m_ring.push_back(std::move(it->second));
  }
  for (auto it = ordered.begin(); it != after_self; ++it) {
    m_ring.push_back(std::move(it->second));
  }
  // A row that was written again belongs to a VM that was alive.
  std::erase_if(m_silent, [this](const auto& silent) {
    const auto* row = Find(silent.first);
    return row == nullptr || row->version != silent.second.version;
  });
  std::erase_if(m_seen, [this](const auto& seen) { return Find(seen.first) == nullptr; });
  // A round that is open goes on with the next one, since the order may have changed.
  m_round_open = false;
}

const MemberRow* RowRemoval::Find(const std::string& vm) const {
  const auto it = std::find_if(m_ring.begin(), m_ring.end(),
                               [&vm](const MemberRow& row) { return row.entry.id.value() == vm; });
  return it == m_ring.end() ? nullptr : &*it;
}

void RowRemoval::OnStore(bool answers, StoreEra era, BootTime now) {
  if (era != m_era) {
    // Versions of another era prove nothing.
    m_silent.clear();
  }
  if (!answers || era != m_era) {
    m_store_calm_since.reset();
  }
  m_era = era;
  if (answers && !m_store_calm_since) {
    m_store_calm_since = now;
  }
}

bool RowRemoval::StoreIsCalm(BootTime now) const {
  return m_store_calm_since && now - *m_store_calm_since >= m_policy.store_calm;
}

void RowRemoval::BeginRound(BootTime now) {
  if (m_last_round && now - *m_last_round > m_policy.longest_pause) {
    m_silent.clear();
    m_store_calm_since.reset();
  }
  m_last_round = now;
  m_asked = 0;
  m_batch = m_silent.size() + 1;
  m_round_silent.clear();
  m_round_answered = false;
  m_round_open = true;
}

std::vector<VmEntry> RowRemoval::NextPings(BootTime now) {
  if (!m_round_open) {
    return {};
  }
  if (m_round_answered || m_asked == m_ring.size()) {
    EndRound(m_round_answered);
    return {};
  }
  m_last_round = now;
  const auto count = std::min({m_batch, kMaxBatch, m_ring.size() - m_asked});
  std::vector<VmEntry> pings;
  for (std::size_t i = 0; i < count; ++i) {
    pings.push_back(m_ring[m_asked++].entry);
  }
  m_batch *= 2;
  return pings;
}

void RowRemoval::OnPing(const VmId& vm, bool answered, BootTime now) {
  const auto* row = Find(vm.value());
  if (!m_round_open || row == nullptr) {
    return;
  }
  if (answered) {
    m_silent.erase(vm.value());
    m_seen[vm.value()] = row->version;
    m_successor = vm.value();
    m_round_answered = true;
    return;
  }
  m_round_silent.insert(vm.value());
  m_silent.try_emplace(vm.value(), Silence{now, row->version, 0});
}

void RowRemoval::EndRound(bool any_answer) {
  m_round_open = false;
  // If no VM answers, this one may be cut off. Rows beyond the first VM that answers are watched by
  // that VM.
  bool beyond = !any_answer;
  for (const auto& row : m_ring) {
    const auto& id = row.entry.id.value();
    const bool silent = m_round_silent.contains(id);
    beyond = beyond || !silent;
    if (beyond) {
      m_silent.erase(id);
    }
  }
}

Millis RowRemoval::Interval() const {
  const auto rows = static_cast<std::int64_t>(m_ring.size() + 1);
  const auto watched = static_cast<std::int64_t>(m_silent.size() + 1);
  // The sum of `watched` over all VMs that answer is the number of rows, so the sum of their rates
  // is one per spacing.
  return m_policy.fleet_spacing * rows / watched;
}

std::optional<RowRemoval::Candidate> RowRemoval::NextCandidate(BootTime now) {
  const std::pair<const std::string, Silence>* oldest = nullptr;
  for (const auto& silent : m_silent) {
    const bool due = now - silent.second.since >= m_policy.confirmed_silence;
    if (due &&
        (oldest == nullptr || std::tuple(silent.second.attempts, silent.second.since) <
                                  std::tuple(oldest->second.attempts, oldest->second.since))) {
      oldest = &silent;
    }
  }
  if (oldest == nullptr || m_round_open || !StoreIsCalm(now)) {
    if (oldest == nullptr || !StoreIsCalm(now)) {
      m_next_attempt.reset();
    }
    return std::nullopt;
  }
  if (!m_next_attempt) {
    // Many VMs may find rows at the same time; the hash spreads their first attempts.
    const auto part = Hash(m_self.id.value(), Hash(oldest->first)) % kFractions;
    m_next_attempt = now + Interval() * static_cast<std::int64_t>(part) / kFractions;
  }
  const auto* row = Find(oldest->first);
  if (now < *m_next_attempt || row == nullptr) {
    return std::nullopt;
  }
  m_next_attempt = now + Interval();
  auto& silence = m_silent[oldest->first];
  Candidate candidate{oldest->first, silence.version, m_era, {}};
  candidate.witnesses = ChooseWitnesses(*row, silence.attempts++);
  return candidate;
}

std::vector<VmEntry> RowRemoval::ChooseWitnesses(const MemberRow& row, int attempt) const {
  // Rows that this VM finds silent are asked too: how many of them respond shows whether much of
  // the fleet is gone.
  const auto seed = Hash(row.entry.id.value(), static_cast<std::uint64_t>(attempt));
  std::vector<VmEntry> others;
  for (const auto& other : m_ring) {
    if (other.entry.id != row.entry.id && !other.entry.leaving) {
      others.push_back(other.entry);
    }
  }
  std::sort(others.begin(), others.end(), [seed](const VmEntry& a, const VmEntry& b) {
    return std::pair(Hash(a.id.value(), seed), a.id) < std::pair(Hash(b.id.value(), seed), b.id);
  });
  std::vector<VmEntry> witnesses;
  const auto add = [&](const VmEntry& vm) {
    if (std::find(witnesses.begin(), witnesses.end(), vm) == witnesses.end()) {
      witnesses.push_back(vm);
    }
  };
  for (const auto& vm : others) {
    if (vm.domain == row.entry.domain && witnesses.size() < kWitnessesOfDomain) {
      add(vm);
    }
  }
  for (const auto& vm : others) {
    if (witnesses.size() < m_policy.max_witnesses) {
      add(vm);
    }
  }
  for (const auto& vm : others) {
    if (vm.id.value() == m_successor) {
      add(vm);
    }
  }
  return witnesses;
}

bool RowRemoval::IsDomainRepresented(const Candidate& candidate,
                                     const std::vector<WitnessAnswer>& answers) const {
  const auto* row = Find(candidate.vm);
  if (row == nullptr || m_self.domain == row->entry.domain) {
    return row != nullptr;
  }
  bool has_others = false;
  for (std::size_t i = 0; i < candidate.witnesses.size(); ++i) {
    const bool same = candidate.witnesses[i].domain == row->entry.domain;
    has_others = has_others || same;
    if (same && answers[i] == WitnessAnswer::kNoAnswer) {
      return true;
    }
  }
  return !has_others;
}

bool RowRemoval::MayRemove(const Candidate& candidate,
                           const std::vector<WitnessAnswer>& answers,
                           BootTime now) {
  const auto silent = m_silent.find(candidate.vm);
  if (silent == m_silent.end() || silent->second.version != candidate.version ||
      candidate.era != m_era || !StoreIsCalm(now) || answers.size() != candidate.witnesses.size()) {
    return false;
  }
  const auto count = [&answers](WitnessAnswer answer) {
    return static_cast<std::size_t>(std::count(answers.begin(), answers.end(), answer));
  };
  if (count(WitnessAnswer::kAnswers) > 0) {
    // Only this VM does not reach it.
    silent->second.since = now;
    return false;
  }
  const auto confirmations = count(WitnessAnswer::kNoAnswer);
  const auto span = now - silent->second.since;
  const bool several = confirmations >= std::min(kMinConfirmations, answers.size());
  const bool most_respond = 2 * confirmations >= answers.size();
  const auto seen = m_seen.find(candidate.vm);
  const bool has_answered = seen != m_seen.end() && seen->second == candidate.version;
  const bool confirmed =
      has_answered && several && most_respond && IsDomainRepresented(candidate, answers);
  return confirmations > 0 &&
         span >= (confirmed ? m_policy.confirmed_silence : m_policy.lasting_silence);
}

}  // namespace cardamom
