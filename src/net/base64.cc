#include "net/base64.h"

#include <cxxtools/base64codec.h>

#include <exception>

namespace limpet {

std::string EncodeBase64(const std::string& bytes) {
  return bytes.empty() ? "" : cxxtools::Base64Codec::encode(bytes);
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
