// A small deployment: the stand-ins, and machines that are ready.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "database.h"
#include "machine.h"
#include "net.h"
#include "store.h"

namespace review {

struct Deployment {
  std::unique_ptr<Store> store;
  std::unique_ptr<Database> database;
  // Further ones, which the promotion service does not serve: nothing happens to their servers.
  std::vector<std::unique_ptr<Database>> more_databases;
  std::vector<std::unique_ptr<Machine>> machines;
};

struct ServiceNames {
  const char* host;
  const char* service;
};

constexpr std::array<ServiceNames, 3> kServices = {
    {{"huvo11a", "dele69a"}, {"hucu512", "gowu98c"}, {"loje422", "xano55b"}}};

inline json::value Configuration(const std::string& kind, int timeout_ms, std::size_t databases) {
  json::array routes;
  json::array services;
  for (std::size_t i = 0; i < databases; ++i) {
    const auto& names = kServices[i];
    routes.push_back(json::object{{"name", names.host},
                                  {"host", names.host},
                                  {"service", names.service},
                                  {"kind", kind},
                                  {"max_staleness_ms", 1500},
                                  {"timeout_ms", timeout_ms},
                                  {"target_latency_ms", 1000},
                                  {"priority", 1}});
    services.push_back(
        json::object{{"name", names.service}, {"max_conns", 79}, {"sync_replicas", 1}});
  }
  return {{"version", 7},
          {"routes", routes},
          {"services", services},
          {"limits", json::object{{"tx_idle_ms", 5000}}}};
}

// Starts a store, three servers and `count` machines, and waits until all are ready.
inline bool StartDeployment(Deployment& all,
                            std::size_t count,
                            const std::string& kind,
                            int timeout_ms,
                            const std::string& program,
                            const std::string& directory,
                            std::size_t databases = 1) {
  all.store = std::make_unique<Store>();
  all.database = std::make_unique<Database>(*all.store, kServices[0].service);
  for (const auto* id : {"i-p", "i-r1", "i-r2"}) {
    all.database->Start(id);
  }
  for (std::size_t i = 1; i < databases; ++i) {
    const std::string service = kServices[i].service;
    auto& database =
        all.more_databases.emplace_back(std::make_unique<Database>(*all.store, service));
    for (const auto* id : {"-p", "-r1", "-r2"}) {
      database->Start("i-" + service + id);
    }
  }
  all.store->Put("op", "config", Configuration(kind, timeout_ms, databases));
  std::vector<std::array<std::uint16_t, 4>> ports(count);
  std::vector<int> reserved;
  std::string seeds;
  for (auto& own : ports) {
    for (auto& port : own) {
      reserved.push_back(Listen(port));
    }
    seeds += seeds.empty() ? "127.0.0.1:" : ",127.0.0.1:";
    seeds += std::to_string(own[3]);
  }
  for (const int fd : reserved) {
    close(fd);
  }
  for (std::size_t i = 0; i < count; ++i) {
    all.machines.push_back(std::make_unique<Machine>("edge-" + std::to_string(i), program,
                                                     directory, *all.store, *all.database, seeds,
                                                     ports[i]));
    all.machines.back()->Start();
  }
  const auto deadline = Clock::now() + milliseconds(15'000);
  for (const auto& machine : all.machines) {
    while (!machine->IsReady()) {
      if (Clock::now() > deadline || machine->HasEnded()) {
        return false;
      }
      SleepFor(milliseconds(50));
    }
  }
  g_record.Add("all machines are ready");
  return true;
}

inline void StopAll(Deployment& all) {
  for (const auto& machine : all.machines) {
    if (machine->pid() != 0) {
      machine->Kill();
    }
  }
}

}  // namespace review
