// The response header in which a store reports its era.
#pragma once

#include <charconv>
#include <optional>

#include "core/store_position.h"
#include "http/http_message.h"

namespace cardamom {

inline constexpr const char* kStoreEraHeader = "Store-Era";

// The era that `response` reports: 0 if it has no such header, nothing if the header is no number.
// Thread safe.
inline std::optional<StoreEra> EraOf(const HttpResponse& response) {
  const auto text = response.Header(kStoreEraHeader);
  if (!text) {
    return StoreEra();
  }
  std::uint64_t era = 0;
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, era);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(StoreEra(era))
                                                       : std::nullopt;
}

}  // namespace cardamom
