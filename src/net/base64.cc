#include "net/base64.h"

#include <cxxtools/base64codec.h>

#include <algorithm>
#include <exception>

namespace limpet {

std::string EncodeBase64(const std::string& bytes) {
  if (bytes.empty()) {
    return "";
  }
  std::string text = cxxtools::Base64Codec::encode(bytes);
  // cxxtools breaks lines as MIME does; RFC 4648 forbids that unless a format asks for it.
  text.erase(
      std::remove_if(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n'; }),
      text.end());
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  if (text.empty()) {
    return "";
  }
  try {
    std::string bytes = cxxtools::Base64Codec::decode(text);
    // The decoder of cxxtools accepts characters outside the alphabet and missing padding.
    if (EncodeBase64(bytes) == text) {
      return bytes;
    }
  } catch (const std::exception&) {
    // The decoder throws on truncated input; the result is the same as for other bad input.
  }
  return std::nullopt;
}

}  // namespace limpet
