#include "stutter_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include <fmt/format.h>

#include "stutter_connection.h"

namespace cardamom::stutter {
namespace {

constexpr Millis kApplyDelay{8};

}  // namespace

Group::Group(std::string name,
             std::size_t servers,
             Faults faults,
             std::size_t max_connections,
             std::uint64_t seed,
             Journal& journal)
    : m_name(std::move(name)),
      m_faults(faults),
      m_max_connections(max_connections),
      m_journal(journal),
      m_log{{1, 1, Clock::now()}} {
  for (std::size_t i = 0; i < servers; ++i) {
    m_servers.push_back(
        std::make_unique<Server>(*this, fmt::format("i-{}{}", m_name, i), seed * 31 + i));
  }
  m_primary = m_servers.front()->id();
}

Group::~Group() = default;

bool Group::Promote(const std::string& id) {
  const std::lock_guard lock(m_mutex);
  for (const auto& server : m_servers) {
    if (server->id() == id) {
      if (m_primary != id) {
        ++m_term;
        m_primary = id;
      }
      server->paused_at = 0;
      return true;
    }
  }
  return false;
}

void Group::StepDown(const std::string& id, std::uint64_t term) {
  const std::lock_guard lock(m_mutex);
  if (m_primary == id && m_term < term) {
    m_primary.clear();
  }
}

bool Group::IsPrimary(const std::string& id) {
  const std::lock_guard lock(m_mutex);
  return m_primary == id;
}

bool Group::IsPrimaryOf(const std::string& id, std::uint64_t term) {
  const std::lock_guard lock(m_mutex);
  return m_primary == id && m_term == term;
}

std::uint64_t Group::term() {
  const std::lock_guard lock(m_mutex);
  return m_term;
}

Commit Group::Newest() {
  const std::lock_guard lock(m_mutex);
  return m_log.back();
}

Commit Group::Applied() {
  const std::lock_guard lock(m_mutex);
  const auto now = Clock::now();
  auto entry = m_log.rbegin();
  while (std::next(entry) != m_log.rend() && now - entry->time < kApplyDelay) {
    ++entry;
  }
  return *entry;
}

Commit Group::Append() {
  const std::lock_guard lock(m_mutex);
  m_log.push_back({m_term, m_log.back().index + 1, Clock::now()});
  return m_log.back();
}

Server::Server(Group& group, std::string id, std::uint64_t seed)
    : m_group(group), m_id(std::move(id)), m_seed(seed), m_listener(ListenOnLoopback(m_address)) {
  m_thread = std::thread([this] { Accept(); });
}

Server::~Server() {
  shutdown(m_listener, SHUT_RDWR);
  m_thread.join();
  close(m_listener);
  for (auto& session : m_sessions) {
    session.socket->Shutdown();
    session.thread.join();
  }
}

void Server::Accept() {
  for (std::uint64_t number = 1;; ++number) {
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    auto socket = std::make_shared<LineSocket>(descriptor);
    ++m_connections;
    std::thread thread([this, socket, number] {
      Connection(*this, socket, m_seed * 7919 + number).Run();
      socket->Shutdown();
      --m_connections;
    });
    m_sessions.push_back({std::move(socket), std::move(thread)});
  }
}

}  // namespace cardamom::stutter
