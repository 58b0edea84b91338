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
  // cxxtools inserts line breaks as MIME requires. RFC 4648 forbids them unless the format that
  // uses the encoding requires them.
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
    // cxxtools also decodes text with characters outside the alphabet or with missing padding.
    // Encoding the bytes again detects both.
    if (EncodeBase64(bytes) == text) {
      return bytes;
    }
  } catch (const std::exception&) {
    // cxxtools throws on truncated input, which is malformed like any other bad input.
  }
  return std::nullopt;
}

}  // namespace limpet
