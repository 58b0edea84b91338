#ifndef LIMPET_CONFIG_LIMITS_H_
#define LIMPET_CONFIG_LIMITS_H_

#include <cstdint>
#include <string>

namespace limpet {

/// Closed interval of allowed values.
struct Range {
  int64_t low = 0;
  int64_t high = 0;

  bool Contains(int64_t value) const { return low <= value && value <= high; }
  std::string ToString() const { return std::to_string(low) + " to " + std::to_string(high); }
};

// Allowed values of configuration keys.
inline constexpr Range kTimeoutMsRange{1, 600'000};
inline constexpr Range kDeadlineMsRange{1, 600'000};
inline constexpr Range kSlotsRange{1, 100'000};
inline constexpr Range kConnectionsRange{1, 100'000};
inline constexpr Range kMaxAttemptsRange{1, 10};

/// Maximum length of the name of a resource, caller or data centre, in bytes.
inline constexpr int kMaxNameBytes = 128;
/// Maximum length of a route's path prefix, in bytes.
inline constexpr int kMaxPrefixBytes = 1024;

}  // namespace limpet

#endif  // LIMPET_CONFIG_LIMITS_H_
