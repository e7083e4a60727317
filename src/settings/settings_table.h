// Reads settings from flags, the environment and a file, as tables of settings describe them.
#pragma once

#include <cstdint>
#include <fstream>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <boost/program_options.hpp>

namespace cardamom {

// A setting whose value is an integer from `min` to `max`, both included. The unit "ms" marks a
// duration.
template <typename Owner>
struct NumberSettingOf {
  std::string_view name;
  std::int64_t Owner::*member;
  std::int64_t default_value;
  std::int64_t min;
  std::int64_t max;
  std::string_view unit;
  std::string_view meaning;
};

// A setting whose value is a string.
template <typename Owner>
struct TextSettingOf {
  std::string_view name;
  std::string Owner::*member;
  std::string_view default_value;
  bool required;
  std::string_view meaning;
};

// Returns the value of an environment variable, or nullopt if it is not set.
using SettingsEnvironment = std::function<std::optional<std::string>(const std::string& name)>;

// One message for each error in the settings.
using SettingsProblems = std::vector<std::string>;

// Name of the environment variable of a setting. Thread safe.
std::string EnvironmentVariableName(std::string_view setting);

namespace detail {

// Parses an integer. If `unit` is "ms", the text may end in "ms" or in "s" for seconds, as in
// "6.5s", and a fraction of a millisecond is rounded. Returns nullopt for any other text and for
// values of 9e15 and more. Thread safe.
std::optional<std::int64_t> ParseNumber(std::string_view text, std::string_view unit);

template <typename Owner>
void ReadNumber(const NumberSettingOf<Owner>& setting,
                const std::optional<std::string>& text,
                Owner& settings,
                SettingsProblems& problems) {
  if (!text) {
    settings.*setting.member = setting.default_value;
    return;
  }
  const auto value = ParseNumber(*text, setting.unit);
  if (!value || *value < setting.min || *value > setting.max) {
    problems.push_back(fmt::format("{}: '{}' is not a whole number from {} to {} ({})",
                                   setting.name, *text, setting.min, setting.max, setting.unit));
    return;
  }
  settings.*setting.member = *value;
}

}  // namespace detail

// Takes each setting from its flag, else from its environment variable, else from the file given by
// the flag --settings-file (lines of the form name = value; an empty value counts as none), else
// from its default. Adds a message to `problems` for each error found. Thread safe if `environment`
// is.
template <typename Owner>
Owner ReadSettings(std::span<const NumberSettingOf<Owner>> numbers,
                   std::span<const TextSettingOf<Owner>> texts,
                   const std::vector<std::string>& arguments,
                   const SettingsEnvironment& environment,
                   SettingsProblems& problems) {
  namespace po = boost::program_options;
  po::options_description options;
  for (const auto& setting : numbers) {
    options.add_options()(std::string(setting.name).c_str(), po::value<std::string>());
  }
  for (const auto& setting : texts) {
    options.add_options()(std::string(setting.name).c_str(), po::value<std::string>());
  }
  po::options_description flag_options;
  flag_options.add(options).add_options()("settings-file", po::value<std::string>());
  po::variables_map flags;
  po::variables_map from_file;
  try {
    po::store(po::command_line_parser(arguments).options(flag_options).run(), flags);
    if (flags.contains("settings-file")) {
      const auto path = flags["settings-file"].template as<std::string>();
      std::ifstream file(path);
      if (!file) {
        problems.push_back(fmt::format("settings-file: '{}' cannot be read", path));
      }
      po::store(po::parse_config_file(file, options), from_file);
    }
  } catch (const po::error& failure) {
    problems.emplace_back(failure.what());
  }
  const auto find_value = [&](std::string_view name) -> std::optional<std::string> {
    const std::string key(name);
    if (flags.contains(key)) {
      return flags[key].template as<std::string>();
    }
    if (auto value = environment(EnvironmentVariableName(name))) {
      return value;
    }
    if (!from_file.contains(key)) {
      return std::nullopt;
    }
    // A template leaves the value empty if a deployment does not tell it.
    auto value = from_file[key].template as<std::string>();
    return value.empty() ? std::nullopt : std::optional(std::move(value));
  };
  Owner settings;
  for (const auto& setting : numbers) {
    detail::ReadNumber(setting, find_value(setting.name), settings, problems);
  }
  for (const auto& setting : texts) {
    settings.*setting.member =
        find_value(setting.name).value_or(std::string(setting.default_value));
    if (setting.required && (settings.*setting.member).empty()) {
      problems.push_back(fmt::format("{}: is required", setting.name));
    }
  }
  return settings;
}

}  // namespace cardamom
