#include "cardamom/session_token.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <boost/leaf/error.hpp>

#include "core/json.h"

namespace cardamom {

namespace detail {

struct TokenEntry {
  GroupId group;
  Term term;
  LogIndex index;
};
BOOST_DESCRIBE_STRUCT(TokenEntry, (), (group, term, index))

struct TokenBody {
  std::vector<TokenEntry> entries;
};
BOOST_DESCRIBE_STRUCT(TokenBody, (), (entries))

}  // namespace detail

namespace {

constexpr std::string_view kVersion = "c1";
constexpr std::size_t kSignatureBytes = 16;
constexpr std::size_t kMaxTokenBytes = 4096;

std::string HexEncode(const unsigned char* bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (std::size_t i = 0; i < size; ++i) {
    out += kDigits[bytes[i] >> 4U];
    out += kDigits[bytes[i] & 15U];
  }
  return out;
}

std::optional<std::string> HexDecode(std::string_view text) {
  std::string out;
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  const auto digit = [](char c) -> int {
    if (c >= '0' && c <= '9') {
      return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const int high = digit(text[i]);
    const int low = digit(text[i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    out += static_cast<char>(high * 16 + low);
  }
  return out;
}

std::string Sign(std::string_view body, std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data(), &size);
  return HexEncode(digest.data(), kSignatureBytes);
}

}  // namespace

LeafResult<SessionToken> SessionToken::Parse(std::string_view text, std::string_view key) {
  const auto bad = [](const char* detail) {
    return boost::leaf::new_error(Error{ResultCode::kBadToken, detail});
  };
  if (text.size() > kMaxTokenBytes) {
    return bad("too long");
  }
  const auto first = text.find('.');
  const auto second = text.rfind('.');
  if (first == std::string_view::npos || first == second) {
    return bad("not of the form version.body.signature");
  }
  if (text.substr(0, first) != kVersion) {
    return boost::leaf::new_error(
        Error{ResultCode::kForeignToken, "a version that this proxy does not know"});
  }
  const auto signature = Sign(text.substr(0, second), key);
  const auto given = text.substr(second + 1);
  if (given.size() != signature.size() ||
      CRYPTO_memcmp(given.data(), signature.data(), signature.size()) != 0) {
    return bad("the signature does not match");
  }
  const auto json = HexDecode(text.substr(first + 1, second - first - 1));
  if (!json) {
    return bad("the body is not hexadecimal");
  }
  const auto body = DecodeJson<detail::TokenBody>(*json);
  if (!body || body->entries.size() > kMaxGroups) {
    return bad("the body cannot be read");
  }
  SessionToken token;
  for (const auto& entry : body->entries) {
    token.Advance(entry.group, {entry.term, entry.index});
  }
  return token;
}

std::string SessionToken::Format(std::string_view key) const {
  std::vector<std::pair<std::uint64_t, detail::TokenEntry>> ordered;
  for (const auto& [group, entry] : m_entries) {
    ordered.push_back({entry.last_use, {group, entry.position.term, entry.position.index}});
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  detail::TokenBody body;
  for (const auto& [used, entry] : ordered) {
    body.entries.push_back(entry);
  }
  const auto json = EncodeJson(body);
  const auto hex = HexEncode(reinterpret_cast<const unsigned char*>(json.data()), json.size());
  const auto text = std::string(kVersion) + "." + hex;
  return text + "." + Sign(text, key);
}

SessionToken::Requirement SessionToken::RequirementFor(const GroupId& group) const {
  const auto it = m_entries.find(group);
  if (it == m_entries.end()) {
    return {};
  }
  return {true, it->second.position};
}

void SessionToken::Advance(const GroupId& group, Position position) {
  auto& entry = m_entries[group];
  entry.position = std::max(entry.position, position);
  entry.last_use = ++m_use_count;
  if (m_entries.size() > kMaxGroups) {
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(),
        [](const auto& a, const auto& b) { return a.second.last_use < b.second.last_use; }));
  }
}

}  // namespace cardamom
