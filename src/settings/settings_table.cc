#include "settings/settings_table.h"

#include <charconv>
#include <cmath>

namespace cardamom::detail {
namespace {

constexpr double kMillisPerSecond = 1000;
// A double represents every integer exactly only up to 2^53, about 9e15.
constexpr double kMaxExactInteger = 9e15;

}  // namespace

std::optional<std::int64_t> ParseNumber(std::string_view text, std::string_view unit) {
  const bool is_duration = unit == "ms";
  double scale = 1;
  if (is_duration && text.ends_with('s')) {
    text.remove_suffix(1);
    if (text.ends_with('m')) {
      text.remove_suffix(1);
    } else {
      scale = kMillisPerSecond;
    }
  }
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [parse_end, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  value *= scale;
  if (error != std::errc() || parse_end != end || !(std::abs(value) < kMaxExactInteger) ||
      (!is_duration && value != std::floor(value))) {
    return std::nullopt;
  }
  return std::llround(value);
}

}  // namespace cardamom::detail
