#ifndef LIMPET_CORE_ENUM_NAMES_H_
#define LIMPET_CORE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace limpet {

/// Maps the values of an `enum class` to the names used in logs, settings and JSON.
template <typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

/// Returns the name of `value`, or "unknown" if the table has no entry for it.
template <typename Enum, std::size_t N>
constexpr std::string_view EnumName(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& [entry, name] : names) {
    if (entry == value) {
      return name;
    }
  }
  return "unknown";
}

/// Returns the value with this name, or nothing if the table has no such name.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ParseEnumName(const EnumNames<Enum, N>& names,
                                            std::string_view name) {
  for (const auto& [entry, entry_name] : names) {
    if (entry_name == name) {
      return entry;
    }
  }
  return std::nullopt;
}

}  // namespace limpet

#endif  // LIMPET_CORE_ENUM_NAMES_H_
