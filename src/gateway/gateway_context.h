// What every part of the gateway shares.
#pragma once

#include <boost/asio/io_context.hpp>

#include "events/event_log.h"
#include "gateway/gateway_metrics.h"
#include "settings/gateway_settings.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// References outlive every user. Not thread safe: the gateway runs on one thread.
struct GatewayContext {
  boost::asio::io_context& io;
  const GatewaySettings& settings;
  EventLog& events;
  GatewayMetrics& metrics;
  LinkOpener open_link;
};

}  // namespace cardamom
