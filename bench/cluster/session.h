// A caller's session against the proxies.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "http/blocking_client.h"
#include "proxy/caller_messages.h"

namespace cardamom {

// What a caller got for one request.
struct CallerReply {
  int status = 0;
  CallerResult result;
  Problem problem;
  std::string body;

  bool ok() const { return status == 200; }
  // Whether the caller has to reckon with either outcome.
  bool unknown() const { return !ok() && (status == 0 || problem.ran == "unknown"); }
  bool not_run() const { return !ok() && status != 0 && problem.ran == "no"; }
};

// Carries the session token from proxy to proxy. Not thread safe.
class Session {
 public:
  explicit Session(std::string group) : m_group(std::move(group)) {}

  CallerReply Read(const Address& proxy,
                   const std::string& sql,
                   boost::json::array params = {},
                   std::optional<std::int64_t> max_age_ms = std::nullopt);
  CallerReply Write(const Address& proxy,
                    const std::string& sql,
                    boost::json::array params = {},
                    const std::string& key = "");
  CallerReply Post(const Address& proxy,
                   const std::string& target,
                   const std::string& body,
                   const std::string& key = "");
  CallerReply Get(const Address& proxy, const std::string& target);
  // Returns the id; empty on failure.
  std::string Begin(const Address& proxy);

  const std::string& token() const { return m_token; }
  void set_token(std::string token) { m_token = std::move(token); }
  void set_deadline(Millis deadline) { m_deadline = deadline; }

 private:
  CallerReply Send(const Address& proxy, HttpRequest request, const std::string& key);

  const std::string m_group;
  std::string m_token;
  Millis m_deadline{5000};
  std::map<std::string, std::unique_ptr<BlockingClient>> m_clients;
};

}  // namespace cardamom
