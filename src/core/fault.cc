#include "limpet/core/fault.h"

#ifdef LIMPET_FAULTS

#include <cstdlib>

namespace limpet {

bool IsFaultActive(Fault fault) {
  static const Fault kActive = [] {
    const char* name = std::getenv("LIMPET_FAULT");
    return name == nullptr ? Fault::kNone : ParseEnumName(kFaultNames, name).value_or(Fault::kNone);
  }();
  return fault == kActive;
}

}  // namespace limpet

#endif
