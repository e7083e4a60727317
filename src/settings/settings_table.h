// Reads settings from flags, environment and a file, checked against one table.
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

// A setting whose value is a whole number.
template <typename Owner>
struct NumberSettingOf {
  std::string_view name;
  std::int64_t Owner::*member;
  std::int64_t initial;
  std::int64_t least;
  std::int64_t most;
  std::string_view unit;
  std::string_view meaning;
};

// A setting whose value is a text.
template <typename Owner>
struct TextSettingOf {
  std::string_view name;
  std::string Owner::*member;
  std::string_view initial;
  bool required;
  std::string_view meaning;
};

// Looks up an environment variable.
using SettingsEnvironment = std::function<std::optional<std::string>(const std::string& name)>;

// Every error of the settings, in plain words.
using SettingsProblems = std::vector<std::string>;

// Name of the environment variable of a setting. Thread safe.
std::string EnvironmentName(std::string_view setting);

namespace detail {

// A whole number; a duration may also be written in seconds, as in "6.5s", or with a fraction of a
// millisecond, which is rounded.
std::optional<std::int64_t> ParseNumber(std::string_view text, std::string_view unit);

template <typename Owner>
void ReadNumber(const NumberSettingOf<Owner>& setting,
                const std::optional<std::string>& text,
                Owner& settings,
                SettingsProblems& problems) {
  if (!text) {
    settings.*setting.member = setting.initial;
    return;
  }
  const auto value = ParseNumber(*text, setting.unit);
  if (!value || *value < setting.least || *value > setting.most) {
    problems.push_back(fmt::format("{}: '{}' is not a whole number from {} to {} ({})",
                                   setting.name, *text, setting.least, setting.most, setting.unit));
    return;
  }
  settings.*setting.member = *value;
}

}  // namespace detail

// Reads flags, then environment variables for what no flag gives, then the file that the flag
// --settings-file names (lines of the form name = value), then defaults. Adds to `problems`
// whatever is wrong. Thread safe.
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
  po::options_description with_file;
  with_file.add(options).add_options()("settings-file", po::value<std::string>());
  po::variables_map flags;
  po::variables_map from_file;
  try {
    po::store(po::command_line_parser(arguments).options(with_file).run(), flags);
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
  const auto text_of = [&](std::string_view name) -> std::optional<std::string> {
    const std::string key(name);
    if (flags.contains(key)) {
      return flags[key].template as<std::string>();
    }
    if (auto value = environment(EnvironmentName(name))) {
      return value;
    }
    if (from_file.contains(key)) {
      return from_file[key].template as<std::string>();
    }
    return std::nullopt;
  };
  Owner settings;
  for (const auto& setting : numbers) {
    detail::ReadNumber(setting, text_of(setting.name), settings, problems);
  }
  for (const auto& setting : texts) {
    settings.*setting.member = text_of(setting.name).value_or(std::string(setting.initial));
    if (setting.required && (settings.*setting.member).empty()) {
      problems.push_back(fmt::format("{}: is required", setting.name));
    }
  }
  return settings;
}

}  // namespace cardamom
