#ifndef LIMPET_LOAD_SCHEDULE_H_
#define LIMPET_LOAD_SCHEDULE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "limpet/load/experiment.h"

namespace limpet::load {

/// One planned request.
struct Arrival {
  /// Time since the start of the run.
  Duration at{0};
  std::size_t phase = 0;
  std::size_t workload = 0;
  std::string request_id;
};

/// Returns Poisson arrivals over all phases in order of time. The result depends only on the
/// experiment.
std::vector<Arrival> MakeSchedule(const Experiment& experiment);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_SCHEDULE_H_
