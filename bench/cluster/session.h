// A caller that uses one session over several proxies.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "http/blocking_client.h"
#include "proxy/caller_messages.h"

namespace cardamom {

// The response to one request. If none arrived, the status is 0, or 503 if the request certainly
// did not run.
struct CallerReply {
  int status = 0;
  CallerResult result;
  ProblemDetails problem;
  std::string body;

  bool ok() const { return status == 200; }
  // Whether the request may or may not have run.
  bool outcome_unknown() const { return !ok() && (status == 0 || problem.ran == "unknown"); }
  // Whether the request certainly did not run.
  bool not_run() const { return !ok() && status != 0 && problem.ran == "no"; }
};

// Sends each request, to any proxy, with the session token of the latest response. Blocks until the
// response arrives or a margin after the deadline has passed. Keeps one connection to each proxy.
// Not thread safe.
class Session {
 public:
  explicit Session(std::string group) : m_group(std::move(group)) {}

  // Without `max_age_ms`, a session that has a token gets data within the record's greatest age,
  // and one that has none reads from the primary.
  CallerReply Read(const Address& proxy,
                   const std::string& sql,
                   boost::json::array params = {},
                   std::optional<std::int64_t> max_age_ms = std::nullopt);
  // `key` is the idempotency key; none if empty.
  CallerReply Write(const Address& proxy,
                    const std::string& sql,
                    boost::json::array params = {},
                    const std::string& key = "");
  CallerReply Post(const Address& proxy,
                   const std::string& target,
                   const std::string& body,
                   const std::string& key = "");
  CallerReply Get(const Address& proxy, const std::string& target);
  // Begins a transaction. Returns its id; empty on failure.
  std::string Begin(const Address& proxy);

  const std::string& token() const { return m_token; }
  void set_token(std::string token) { m_token = std::move(token); }
  // Time that the proxy has for each request; initially 5 s.
  void set_deadline(Millis deadline) { m_deadline = deadline; }

 private:
  CallerReply Send(const Address& proxy, HttpRequest request, const std::string& key);

  const std::string m_group;
  std::string m_token;
  Millis m_deadline{5000};
  std::map<std::string, std::unique_ptr<BlockingClient>> m_clients;
};

}  // namespace cardamom
