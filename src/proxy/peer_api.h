// HTTP interface for other proxies.
#pragma once

#include "http/http_message.h"
#include "proxy/caller_api.h"

namespace cardamom {

// Thread safe. Answers only requests that carry the shared key.
class PeerApi {
 public:
  // The arguments must outlive this object.
  PeerApi(ProxyContext& context, GroupRegistry& groups, ConfigFollower& config, CallerApi& callers)
      : m_context(context), m_groups(groups), m_config(config), m_caller_api(callers) {}

  // Answers a request: the paths of peer_messages.h here, other paths below /peer as CallerApi does
  // for the path without /peer. Problems: kForbiddenPeer without the shared key, kNoRoute.
  // Precondition: the calling coroutine runs on a strand.
  asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  // Whether this proxy reaches the primary of `group`; `known` is false if this proxy is
  // not a home of the group or has no recent observation.
  ReachAnswer PrimaryReachability(const GroupId& group) const;

  ProxyContext& m_context;
  GroupRegistry& m_groups;
  ConfigFollower& m_config;
  CallerApi& m_caller_api;
};

}  // namespace cardamom
