#include "limpet/core/random.h"

#include <cmath>

namespace limpet {

double Random::NextFraction() {
  constexpr int kMantissaBits = 53;
  return std::ldexp(static_cast<double>(engine_() >> (64 - kMantissaBits)), -kMantissaBits);
}

Duration Random::Jitter(Duration duration, double spread) {
  const double factor = 1.0 + spread * (2.0 * NextFraction() - 1.0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

std::string Random::HexId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  id.reserve(32);
  for (int word = 0; word < 2; ++word) {
    uint64_t bits = engine_();
    for (int digit = 0; digit < 16; ++digit, bits >>= 4) {
      id.push_back(kDigits[bits & 0xF]);
    }
  }
  return id;
}

}  // namespace limpet
