// Tells up to which time the configuration in force is known to be current.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace cardamom {

// The rows of a follower may hold an older configuration than the one in force: a store restored
// from an older copy does. Their confirmation then says nothing about the one in force. Performs no
// I/O: the times are passed in. Not thread safe.
class ConfigurationProof {
 public:
  // Sets the version of the configuration in force; it never goes back.
  void SetInForce(std::uint64_t version) { m_in_force = version; }
  // Sets the version that the follower's rows hold; nullopt if they hold no configuration.
  void SetFollowed(std::optional<std::uint64_t> version) { m_followed = version; }
  // Sets that the follower's rows hold a configuration that cannot be read. It withdraws no key, so
  // the one in force stays valid.
  void SetFollowedUnreadable() { m_followed = m_in_force; }

  // Records that the store is known to have held the follower's rows at `confirmed_at` or later.
  // Returns whether this is the first proof.
  bool ConfirmFollowed(BootTime confirmed_at) {
    return m_followed && Confirm(*m_followed, confirmed_at);
  }
  // As above, for a configuration that a peer gave with the proof.
  bool Confirm(std::uint64_t version, BootTime confirmed_at) {
    if (!m_in_force || version < *m_in_force) {
      return false;
    }
    const bool first = !m_confirmed_at;
    m_confirmed_at = std::max(m_confirmed_at.value_or(confirmed_at), confirmed_at);
    return first;
  }

  // The latest local time at which, or after which, the store is known to have held no greater
  // configuration than the one in force; nullopt if none is known.
  std::optional<BootTime> confirmed_at() const { return m_confirmed_at; }
  // The same for the follower's rows, which peers are given; nullopt if a greater configuration is
  // in force.
  std::optional<BootTime> followed_confirmed_at() const {
    return m_followed && m_followed >= m_in_force ? m_confirmed_at : std::nullopt;
  }

 private:
  std::optional<std::uint64_t> m_in_force;
  std::optional<std::uint64_t> m_followed;
  std::optional<BootTime> m_confirmed_at;
};

}  // namespace cardamom
