#ifndef LIMPET_CONTROL_MESSAGE_COUNTERS_H_
#define LIMPET_CONTROL_MESSAGE_COUNTERS_H_

#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/counters.h"

namespace limpet {

/// Counts the control messages that a node sends and their encoded bytes, by kind, and its log
/// requests.
class MessageCounters {
 public:
  explicit MessageCounters(Counters& counters);

  void Count(const ControlOutput& output);

 private:
  struct Kind {
    Counter* messages;
    Counter* bytes;
  };

  /// In the order of `kKindNames` in the source file.
  std::vector<Kind> kinds_;
  Counter& reads_;
  Counter& appends_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_MESSAGE_COUNTERS_H_
