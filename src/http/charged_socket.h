// Server side of a TCP connection whose unanswered input is charged to a memory account.
#pragma once

#include <memory>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "limits/memory_account.h"

namespace cardamom {

// The account of the servers of an io_context; RESTinio creates sockets from the context alone.
class ChargeService : public boost::asio::execution_context::service {
 public:
  // Name required by Asio.
  static inline boost::asio::execution_context::id id;  // NOLINT(readability-identifier-naming)

  explicit ChargeService(boost::asio::execution_context& context) : service(context) {}
  void set_account(MemoryAccount* account) { m_account = account; }
  MemoryAccount* account() const { return m_account; }

 private:
  void shutdown() override {}

  MemoryAccount* m_account = nullptr;
};

// While the account is full, nothing is read. The input of a request is charged until the first
// byte of its response is written, so requests must not be pipelined. Without an account this is a
// plain socket. With one it is not thread safe, and its context runs on one thread. It may be moved
// until the first read.
class ChargedSocket : public boost::asio::ip::tcp::socket {
 public:
  using Base = boost::asio::ip::tcp::socket;

  explicit ChargedSocket(boost::asio::io_context& context)
      : Base(context), m_account(boost::asio::use_service<ChargeService>(context).account()) {}
  ChargedSocket(ChargedSocket&&) = default;

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    if (m_account == nullptr) {
      Base::async_read_some(buffers, std::forward<Handler>(handler));
      return;
    }
    Read(buffers, std::decay_t<Handler>(std::forward<Handler>(handler)));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    m_input_bytes = 0;
    m_charge.reset();
    Base::async_write_some(buffers, std::forward<Handler>(handler));
  }

 private:
  // Input up to this size, as ordinary requests have it, is not charged.
  static constexpr std::size_t kFreeBytes = 16 << 10;
  // Largest input of one read.
  static constexpr std::size_t kReadBytes = 4096;
  // Input is charged in steps, so that a request that waits for room waits a few times only.
  static constexpr std::size_t kStepBytes = 64 << 10;
  // The body, its copy for the handler, the decoded message, the statement and the request to a
  // server exist at the same time.
  static constexpr std::size_t kCopies = 5;
  static constexpr Millis kRetryDelay{20};

  bool ChargeNextRead() {
    if (m_input_bytes + kReadBytes <= kFreeBytes) {
      return true;
    }
    if (!m_charge) {
      m_charge = std::make_unique<MemoryCharge>(*m_account);
      m_charge->set_on_shed([this] {
        boost::system::error_code ignored;
        Base::close(ignored);
      });
    }
    const auto steps = (m_input_bytes + kReadBytes + kStepBytes - 1) / kStepBytes;
    const auto bytes = steps * kStepBytes * kCopies;
    return bytes <= m_charge->bytes() || m_charge->TryResize(bytes);
  }

  // The handler keeps the connection, and with it this object, alive.
  template <typename Buffers, typename Handler>
  void Read(Buffers buffers, Handler handler) {
    const auto executor = boost::asio::get_associated_executor(handler, get_executor());
    if (!ChargeNextRead()) {
      m_account->ShedLargest(Clock::now());
      m_retry = std::make_unique<boost::asio::steady_timer>(get_executor(), kRetryDelay);
      m_retry->async_wait(boost::asio::bind_executor(
          executor, [this, buffers, handler = std::move(handler)](
                        const boost::system::error_code& /*ec*/) mutable {
            if (is_open()) {
              Read(buffers, std::move(handler));
            } else {
              handler(boost::asio::error::operation_aborted, std::size_t{0});
            }
          }));
      return;
    }
    Base::async_read_some(
        buffers, boost::asio::bind_executor(
                     executor, [this, handler = std::move(handler)](
                                   const boost::system::error_code& ec, std::size_t count) mutable {
                       m_input_bytes += count;
                       handler(ec, count);
                     }));
  }

  MemoryAccount* m_account;
  std::unique_ptr<MemoryCharge> m_charge;
  std::unique_ptr<boost::asio::steady_timer> m_retry;
  // Input since the last response.
  std::size_t m_input_bytes = 0;
};

}  // namespace cardamom
