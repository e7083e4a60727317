// Counts operations in progress, so that a stop can wait for them.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace cardamom {

// Thread safe. Tokens may outlive the counter.
class ActivityCounter {
 public:
  // Keeps an operation counted until its last copy is destroyed.
  using Token = std::shared_ptr<const void>;

  Token Begin() const {
    ++*m_count;
    return Token(m_count.get(), [count = m_count](const void* /*counted*/) { --*count; });
  }
  std::size_t count() const { return *m_count; }

 private:
  const std::shared_ptr<std::atomic<std::size_t>> m_count =
      std::make_shared<std::atomic<std::size_t>>(0);
};

}  // namespace cardamom
