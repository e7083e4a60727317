// Account of the memory that callers, peers and servers can fill: who may take more, and whose
// share is freed first.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "core/clock.h"

namespace cardamom {

class MemoryCharge;

// Not thread safe. Must outlive its charges.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // The account of a process on a VM with `memory_mb`: half of it. The other half is for the
  // process itself, copies that are made for a moment, and the allocator.
  static std::size_t CapacityOf(std::size_t memory_mb) { return memory_mb << 19; }

  // Whether a holder of `held_bytes` may take `more_bytes`. A quarter of the capacity is reserved
  // for holders that then have at most kSmallBytes, which are ordinary statements and replies.
  bool CanTake(std::size_t held_bytes, std::size_t more_bytes) const;

  // Frees the largest holder that has made no progress for kStallTime, by its hook, but at most one
  // in kShedInterval, within which the holder gives its memory back. Returns whether there was one.
  // Call it if CanTake refuses.
  bool ShedLargest(TimePoint now);

  std::size_t used_bytes() const { return m_used; }
  std::size_t capacity_bytes() const { return m_capacity; }

  static constexpr std::size_t kSmallBytes = 32 << 10;
  static constexpr Millis kStallTime{1000};
  static constexpr Millis kShedInterval{50};

 private:
  friend class MemoryCharge;

  const std::size_t m_capacity;
  std::size_t m_used = 0;
  TimePoint m_shed_at;
  std::list<MemoryCharge*> m_charges;
};

// The bytes that one holder has taken; given back by the destructor. Not thread safe.
class MemoryCharge {
 public:
  // Called at most once, when the holder has to free its memory. The bytes stay charged until it
  // has done so.
  using ShedHook = std::function<void()>;

  explicit MemoryCharge(MemoryAccount& account);
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Changes the number of bytes. An increase counts as progress, and is refused if the account
  // cannot take it.
  bool TryResize(std::size_t bytes);
  // Gives bytes back, which counts as progress. Precondition: `bytes` <= bytes().
  void Shrink(std::size_t bytes);

  // Replaces the hook. Without one the holder is not shed.
  void set_on_shed(ShedHook hook) { m_on_shed = std::move(hook); }
  std::size_t bytes() const { return m_bytes; }
  MemoryAccount& account() const { return m_account; }

 private:
  friend class MemoryAccount;

  MemoryAccount& m_account;
  std::list<MemoryCharge*>::iterator m_position;
  std::size_t m_bytes = 0;
  TimePoint m_progress_at;
  ShedHook m_on_shed;
};

}  // namespace cardamom
