#ifndef LIMPET_CORE_RANDOM_H_
#define LIMPET_CORE_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

#include "limpet/core/time.h"

namespace limpet {

/// Seeded pseudo-random number generator for decision logic. The same seed gives the same sequence
/// on every platform. Not for cryptographic use.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t Next() { return engine_(); }

  /// Returns a uniformly distributed value in [0, bound), or 0 if `bound` is 0.
  uint64_t NextBelow(uint64_t bound) { return bound == 0 ? 0 : engine_() % bound; }

  /// Returns a uniformly distributed value in [0, 1).
  double NextFraction();

  /// Returns a uniformly distributed value in [duration * (1 - spread), duration * (1 + spread)).
  Duration Jitter(Duration duration, double spread);

  /// Returns 128 random bits as 32 lower-case hexadecimal digits, for record and request ids.
  std::string HexId();

 private:
  std::mt19937_64 engine_;
};

}  // namespace limpet

#endif  // LIMPET_CORE_RANDOM_H_
