// A stand-in of the platform's store.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <boost/json.hpp>

#include "net.h"

namespace review {

namespace json = boost::json;

inline std::string Parameter(const std::string& target, const std::string& name) {
  for (const auto* before : {"?", "&"}) {
    const auto start = target.find(before + name + "=");
    if (start != std::string::npos) {
      const auto value = start + name.size() + 2;
      return target.substr(value, target.find('&', value) - value);
    }
  }
  return {};
}

inline std::string ToBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > bytes.size();
      text += is_padding ? '=' : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

// The platform's store of rows; it loses nothing and is always well.
class Store {
 public:
  Store() {
    const int listener = Listen(m_port);
    ServeOn(listener, [this](int fd) {
      ServeHttp(fd, [this](const HttpQuestion& question) { return Answer(question); });
    });
  }

  std::uint16_t port() const { return m_port; }

  void Put(const std::string& table, const std::string& key, const json::value& value) {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {++m_version, ToBase64(json::serialize(value)), false};
    m_changed.notify_all();
  }

  void Drop(const std::string& table, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {++m_version, "", true};
    m_changed.notify_all();
  }

 private:
  struct Row {
    std::uint64_t version = 0;
    std::string value;
    bool gone = false;
  };

  HttpAnswer Answer(const HttpQuestion& question) {
    std::unique_lock lock(m_mutex);
    const auto table = Parameter(question.target, "table");
    if (question.target.find("rows-tx") != std::string::npos) {
      return Apply(question.body);
    }
    if (question.target.find("rows-get") != std::string::npos) {
      return {200, Rows(table, std::nullopt)};
    }
    if (question.target.find("rows-feed") == std::string::npos) {
      return {404, "{}"};
    }
    const auto after = std::stoull(Parameter(question.target, "after"));
    const milliseconds wait(std::stoll(Parameter(question.target, "wait_ms")));
    m_changed.wait_for(lock, wait, [&] { return HasChanged(table, after); });
    return {200, Rows(table, after)};
  }

  bool HasChanged(const std::string& table, std::uint64_t after) {
    const auto& rows = m_tables[table];
    return std::any_of(rows.begin(), rows.end(),
                       [after](const auto& row) { return row.second.version > after; });
  }

  std::string Rows(const std::string& table, std::optional<std::uint64_t> after) {
    json::array rows;
    for (const auto& [key, row] : m_tables[table]) {
      if (after ? row.version <= *after : row.gone) {
        continue;
      }
      json::object object{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
      if (row.gone) {
        object["is_gone"] = true;
      } else {
        object["value"] = row.value;
      }
      rows.push_back(std::move(object));
    }
    return json::serialize(
        json::object{{"ver", m_version}, {"now_ms", NowMs()}, {"rows", rows}, {"has_more", false}});
  }

  HttpAnswer Apply(const std::string& body) {
    const auto value = json::parse(body);
    for (const auto& expected : value.at("expected_rev").as_array()) {
      const auto& row = m_tables[std::string(expected.at("table").as_string())]
                                [std::string(expected.at("key").as_string())];
      if ((row.gone ? 0 : row.version) != expected.at("ver").to_number<std::uint64_t>()) {
        return {412, Rows(std::string(expected.at("table").as_string()), std::nullopt)};
      }
    }
    ++m_version;
    for (const auto& put : value.at("puts").as_array()) {
      m_tables[std::string(put.at("table").as_string())][std::string(put.at("key").as_string())] = {
          m_version, std::string(put.at("value").as_string()), false};
    }
    for (const auto& drop : value.at("deletes").as_array()) {
      m_tables[std::string(drop.at("table").as_string())][std::string(drop.at("key").as_string())] =
          {m_version, "", true};
    }
    m_changed.notify_all();
    return {200, json::serialize(json::object{
                     {"ver", m_version}, {"now_ms", NowMs()}, {"rows", json::array()}})};
  }

  std::uint16_t m_port = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_version = 0;
  std::map<std::string, std::map<std::string, Row>> m_tables;
};

}  // namespace review
