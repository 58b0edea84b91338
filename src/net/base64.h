#ifndef LIMPET_SRC_NET_BASE64_H_
#define LIMPET_SRC_NET_BASE64_H_

// This header is also compiled as C++17, see CMakeLists.txt.

#include <optional>
#include <string>

namespace limpet {

std::string EncodeBase64(const std::string& bytes);

/// Returns no value unless `text` is exactly what `EncodeBase64` produces for some bytes.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace limpet

#endif  // LIMPET_SRC_NET_BASE64_H_
