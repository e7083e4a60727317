// Objects shared by all components of the gateway.
#pragma once

#include <boost/asio/io_context.hpp>

#include "events/event_log.h"
#include "gateway/acknowledgement_gate.h"
#include "gateway/gateway_metrics.h"
#include "settings/gateway_settings.h"
#include "statement/endpoint_link.h"

namespace cardamom {

// The referenced objects must outlive all components that use the context. Not thread safe: the
// gateway runs on one thread.
struct GatewayContext {
  boost::asio::io_context& io;
  const GatewaySettings& settings;
  EventLog& events;
  GatewayMetrics& metrics;
  LinkOpener open_link;
  AcknowledgementGates acknowledgements{events};
};

}  // namespace cardamom
