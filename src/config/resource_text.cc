#include "config/resource_text.h"

#include <algorithm>
#include <charconv>

#include "limpet/config/limits.h"

namespace limpet {
namespace {

constexpr std::size_t kMaxMethodBytes = 32;
constexpr std::size_t kMaxQuotedBytes = 80;
constexpr int kMaxPort = 65535;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

}  // namespace

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::ranges::all_of(name, [](char c) {
    return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
  });
}

bool IsValidMethod(std::string_view method) {
  return !method.empty() && method.size() <= kMaxMethodBytes &&
         std::ranges::all_of(method, [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsValidAddress(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos || !IsValidName(address.substr(0, colon))) {
    return false;
  }
  const std::string_view digits = address.substr(colon + 1);
  int port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return error == std::errc() && end == digits.data() + digits.size() && port >= 1 &&
         port <= kMaxPort;
}

bool IsValidPrefix(std::string_view prefix) {
  return prefix.starts_with('/') && (prefix.size() == 1 || !prefix.ends_with('/')) &&
         prefix.size() <= kMaxPrefixBytes && std::ranges::all_of(prefix, [](char c) {
           return IsPrintable(c) && c != ' ' && c != '?' && c != '#';
         });
}

std::string Quote(std::string_view text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string result = "\"";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    if (IsPrintable(c)) {
      result.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      result += {'\\', 'x', kDigits[byte >> 4], kDigits[byte & 0xF]};
    }
  }
  result += text.size() > kMaxQuotedBytes ? "...\"" : "\"";
  return result;
}

}  // namespace limpet
