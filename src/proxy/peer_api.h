// The interface for other proxies.
#pragma once

#include "http/http_message.h"
#include "proxy/caller_api.h"

namespace cardamom {

// Thread safe. Answers only requests that carry the shared key.
class PeerApi {
 public:
  PeerApi(ProxyContext& context, GroupTable& groups, ConfigFollower& config, CallerApi& callers)
      : m_context(context), m_groups(groups), m_config(config), m_callers(callers) {}

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  ReachAnswer Reach(const GroupId& group) const;

  ProxyContext& m_context;
  GroupTable& m_groups;
  ConfigFollower& m_config;
  CallerApi& m_callers;
};

}  // namespace cardamom
