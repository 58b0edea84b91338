#include "limpet/core/fault.h"

#ifdef LIMPET_FAULTS

#include <cstdlib>

namespace limpet {

bool IsFaultActive(Fault fault) {
  static const Fault kActive = [] {
    const char* name = std::getenv("LIMPET_FAULT");
    return name == nullptr ? Fault::kNone : ValueOf(kFaultNames, name).value_or(Fault::kNone);
  }();
  return fault == kActive;
}

}  // namespace limpet

#endif
