// What every part of the proxy needs.
#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "events/event_log.h"
#include "proxy/metrics.h"
#include "settings/settings.h"

namespace cardamom {

// References outlive every part of the proxy.
struct ProxyContext {
  boost::asio::io_context& io;
  const Settings& settings;
  EventLog& events;
  Metrics& metrics;
  // Unique to this process, unlike the VM's name.
  std::string instance;
};

}  // namespace cardamom
