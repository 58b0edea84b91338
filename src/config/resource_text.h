#ifndef LIMPET_SRC_CONFIG_RESOURCE_TEXT_H_
#define LIMPET_SRC_CONFIG_RESOURCE_TEXT_H_

#include <string>
#include <string_view>

namespace limpet {

inline constexpr std::string_view kNameRule =
    "a name has 1 to 128 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view kMethodRule = "a method has 1 to 32 capital letters";
inline constexpr std::string_view kAddressRule = "an address is host:port, e.g. 10.0.0.7:8080";
inline constexpr std::string_view kPrefixRule =
    "a prefix starts with '/', does not end with '/' unless it is \"/\", and has no space, '?' or "
    "'#'";

bool IsValidName(std::string_view name);
bool IsValidMethod(std::string_view method);
bool IsValidAddress(std::string_view address);
bool IsValidPrefix(std::string_view prefix);

/// Quotes text for a message: at most its first 80 bytes, with each byte that is not printable
/// ASCII written as \xNN.
std::string Quote(std::string_view text);

}  // namespace limpet

#endif  // LIMPET_SRC_CONFIG_RESOURCE_TEXT_H_
