#include "gateway_daemon.h"

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "async/notifier.h"
#include "async/spawn.h"
#include "gateway/gateway.h"
#include "gateway/limit_log.h"
#include "limits/memory_account.h"
#include "platform/gateway_ports.h"
#include "platform/line_server.h"

namespace cardamom {
namespace {

constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;
// File descriptors that are never left to callers: at least this many, and those for files, links
// to servers and connections to peers and the store beside the connections of peers and operations.
constexpr std::int64_t kReservedDescriptors = 500;
constexpr std::int64_t kOwnDescriptors = 300;
constexpr std::size_t kBytesPerKb = 1024;
// Requests for readiness and metrics have no body.
constexpr std::size_t kMaxOperationsBody = 4 << 10;
// A statement of 1 MiB with its session's values.
constexpr std::size_t kMaxPeerBody = 4 << 20;
constexpr Millis kSettingsFileCheckInterval{1000};

std::optional<std::string> FromEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

int ReportError(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " " << InfoOf(error.code).name << ": "
            << error.detail << "\n";
  return error.code == ResultCode::kBadSetting ? kExitSettings : kExitListen;
}

void PrintHelp() {
  std::cout << "cardamomd gateway: session gateway on the prepared platform\n\n"
               "  --check-settings  check the settings and exit\n"
               "  --settings-file   file with lines of the form name = value\n";
  for (const auto& setting : GatewayTextSettings()) {
    std::cout << "  --" << setting.name << "  " << setting.meaning << "\n";
  }
  for (const auto& setting : GatewayNumberSettings()) {
    std::cout << "  --" << setting.name << "  " << setting.meaning << " (" << setting.min << " to "
              << setting.max << " " << setting.unit << ", default " << setting.default_value
              << ")\n";
  }
}

// Makes the allocator give large buffers back to the system at once, and the end of its heap when
// it is free. By default both thresholds grow with the buffers that were used.
void ReturnFreedMemory() {
  constexpr int kThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kThresholdBytes);
  mallopt(M_ARENA_MAX, 1);
}

// The gateway with its listeners and signal handling. Not thread safe.
class GatewayDaemon {
 public:
  GatewayDaemon(const GatewaySettings& settings, std::vector<std::string> arguments)
      : m_arguments(std::move(arguments)),
        m_settings(settings),
        m_account(MemoryAccount::CapacityOf(static_cast<std::size_t>(settings.memory_mb))),
        m_gateway(m_context,
                  m_settings,
                  platform::MakeGatewayPorts(m_context, m_settings, m_account)),
        m_limit_log(m_gateway.events(), m_gateway.metrics()),
        m_line_server(m_context, m_gateway.sessions(), MaxConnections(), MakeCallerLimits()),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP),
        m_settings_file_time(SettingsFileTime()) {}

  // Runs until the gateway has stopped and then exits the process. Returns, with an exit code, only
  // if a listener cannot be opened.
  int Run() {
    const auto sessions = m_line_server.Listen(*Address::Parse(m_settings.listen_sessions));
    if (!sessions) {
      return ReportError(sessions.error());
    }
    auto readiness_server =
        Listen(m_settings.listen_ready, m_settings.operations_connections, kMaxOperationsBody,
               [this](HttpRequest request) { return HandleReadiness(std::move(request)); });
    if (!readiness_server) {
      return ReportError(readiness_server.error());
    }
    auto peer_server =
        Listen(m_settings.listen_peers, MaxPeerConnections(), kMaxPeerBody,
               [this](HttpRequest request) { return m_gateway.HandlePeer(std::move(request)); });
    if (!peer_server) {
      return ReportError(peer_server.error());
    }
    auto metrics_server = Listen(m_settings.listen_metrics, m_settings.operations_connections,
                                 kMaxOperationsBody, [this](HttpRequest request) {
                                   m_gateway.metrics().SetChargedBytes(m_account.used_bytes());
                                   return m_gateway.HandleOperations(std::move(request));
                                 });
    if (!metrics_server) {
      return ReportError(metrics_server.error());
    }
    m_gateway.Start();
    AsyncWaitForSignal();
    Spawn(m_context, [this]() -> asio::awaitable<void> { co_await WatchSettingsFile(); });
    m_context.run();
    // Nothing depends on the coroutines that still wait; exiting here avoids their destruction.
    std::_Exit(EXIT_SUCCESS);
  }

 private:
  // Connections of peers; a quarter of the descriptors at most, so that peers, whose number grows
  // with the fleet, and callers do not keep each other out.
  std::int64_t MaxPeerConnections() const {
    return std::min(m_settings.peer_connections, m_settings.max_files / 4);
  }

  std::size_t MaxConnections() const {
    const auto reserved = std::max(kReservedDescriptors, kOwnDescriptors + MaxPeerConnections() +
                                                             2 * m_settings.operations_connections);
    return static_cast<std::size_t>(std::max<std::int64_t>(16, m_settings.max_files - reserved));
  }

  platform::CallerLimits MakeCallerLimits() {
    const auto bytes = [](std::int64_t kilobytes) {
      return static_cast<std::size_t>(kilobytes) * kBytesPerKb;
    };
    platform::CallerLimits limits;
    limits.account = &m_account;
    limits.greeting_bytes = bytes(m_settings.greeting_kb);
    limits.message_timeout = Millis(m_settings.message_ms);
    limits.write_timeout = Millis(m_settings.write_ms);
    limits.write_rate = bytes(m_settings.write_rate_kb);
    limits.state_bytes = bytes(m_settings.session_values_kb);
    limits.state_names = static_cast<std::size_t>(m_settings.session_names);
    limits.on_limit = [this](const char* limit) { m_limit_log.Count(limit, Clock::now()); };
    return limits;
  }

  Outcome<std::unique_ptr<HttpServer>> Listen(const std::string& address,
                                              std::int64_t max_connections,
                                              std::size_t max_body_bytes,
                                              HttpServer::Handler handler) {
    HttpServerOptions options;
    options.listen_address = *Address::Parse(address);
    options.max_connections = static_cast<std::size_t>(max_connections);
    options.max_body_bytes = max_body_bytes;
    options.account = &m_account;
    return HttpServer::Create(m_context, options, {std::move(handler), {}, {}});
  }

  asio::awaitable<HttpResponse> HandleReadiness(HttpRequest request) {
    HttpResponse response;
    const bool is_ready_path = request.target == platform::kReadyPath;
    response.status = is_ready_path && m_gateway.IsReady() ? 200 : is_ready_path ? 503 : 404;
    co_return response;
  }

  void AsyncWaitForSignal() {
    m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
      if (ec) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else if (!m_stopping) {
        m_stopping = true;
        m_gateway.Stop({[this] { return m_line_server.CloseIdleConnections(); },
                        [this] { return m_line_server.UnansweredStatements(); },
                        [this] { m_context.stop(); }});
      }
      AsyncWaitForSignal();
    });
  }

  // Reloads the settings when the modification time of the file changes, so that no signal is
  // needed.
  asio::awaitable<void> WatchSettingsFile() {
    for (;;) {
      co_await Sleep(kSettingsFileCheckInterval);
      if (SettingsFileTime() != m_settings_file_time) {
        Reload();
      }
    }
  }

  std::optional<std::filesystem::file_time_type> SettingsFileTime() const {
    const auto option_it = std::find(m_arguments.begin(), m_arguments.end(), "--settings-file");
    if (option_it == m_arguments.end() || std::next(option_it) == m_arguments.end()) {
      return std::nullopt;
    }
    std::error_code ec;
    const auto time = std::filesystem::last_write_time(*std::next(option_it), ec);
    return ec ? std::nullopt : std::optional(time);
  }

  // Reads all settings again and adopts those that may change while the process runs; the others
  // need a restart. Keeps the current settings if the new ones have errors.
  void Reload() {
    m_settings_file_time = SettingsFileTime();
    boost::leaf::try_handle_all(
        [this]() -> LeafResult<void> {
          BOOST_LEAF_AUTO(new_settings, GatewaySettings::Read(m_arguments, &FromEnvironment));
          const auto changed = m_settings.ApplyReload(new_settings);
          EventLog::SetLevel(m_settings.log_level);
          m_gateway.events().Emit(EventCode::kSettingsReloaded, {.detail = changed});
          return {};
        },
        [this](const Error& error) {
          m_gateway.events().Emit(EventCode::kSettingsRefused, {.detail = error.detail});
        },
        [] {});
  }

  boost::asio::io_context m_context{1};
  const std::vector<std::string> m_arguments;
  GatewaySettings m_settings;
  MemoryAccount m_account;
  Gateway m_gateway;
  LimitLog m_limit_log;
  platform::LineServer m_line_server;
  boost::asio::signal_set m_signals;
  std::optional<std::filesystem::file_time_type> m_settings_file_time;
  bool m_stopping = false;
};

}  // namespace

int RunGateway(std::vector<std::string> arguments) {
  if (std::erase(arguments, "--help") > 0) {
    PrintHelp();
    return EXIT_SUCCESS;
  }
  const bool check_only = std::erase(arguments, "--check-settings") > 0;
  return boost::leaf::try_handle_all(
      [&]() -> LeafResult<int> {
        BOOST_LEAF_AUTO(settings, GatewaySettings::Read(arguments, &FromEnvironment));
        if (check_only) {
          std::cout << "the settings are valid\n";
          return EXIT_SUCCESS;
        }
        EventLog::ConfigureBoundedLogging(
            settings.log_format == "json" ? LogFormat::kJson : LogFormat::kText, settings.log_level,
            static_cast<std::size_t>(settings.log_queue_kb) * kBytesPerKb);
        // A write to a connection that the caller has closed must not terminate the process.
        std::signal(SIGPIPE, SIG_IGN);
        ReturnFreedMemory();
        GatewayDaemon daemon(settings, arguments);
        return daemon.Run();
      },
      [](const Error& error) { return ReportError(error); }, [] { return kExitSettings; });
}

}  // namespace cardamom
