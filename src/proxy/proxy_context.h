// Objects that all parts of the proxy use.
#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "events/event_log.h"
#include "proxy/metrics.h"
#include "settings/settings.h"

namespace cardamom {

// The referenced objects outlive every part of the proxy.
struct ProxyContext {
  boost::asio::io_context& io;
  const Settings& settings;
  EventLog& events;
  Metrics& metrics;
  // Random ID that is unique to this process, unlike the VM's name.
  std::string instance_id;
};

}  // namespace cardamom
