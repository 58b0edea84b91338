#include "limpet/load/schedule.h"

#include <cmath>

#include "limpet/core/random.h"

namespace limpet::load {
namespace {

std::size_t PickWorkload(const std::vector<Workload>& workloads, Random& random) {
  double total = 0;
  for (const Workload& workload : workloads) {
    total += workload.share;
  }
  double point = random.NextFraction() * total;
  for (std::size_t i = 0; i < workloads.size(); ++i) {
    point -= workloads[i].share;
    if (point < 0) {
      return i;
    }
  }
  return workloads.size() - 1;
}

Duration DrawInterarrivalTime(double rate, Random& random) {
  const double seconds = -std::log(1.0 - random.NextFraction()) / rate;
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

std::vector<Arrival> MakeSchedule(const Experiment& experiment) {
  Random random(experiment.seed);
  std::vector<Arrival> schedule;
  Duration phase_start{0};
  for (std::size_t phase = 0; phase < experiment.phases.size(); ++phase) {
    const Duration phase_end = phase_start + experiment.phases[phase].length;
    Duration at = phase_start;
    if (experiment.phases[phase].rate > 0) {
      at += DrawInterarrivalTime(experiment.phases[phase].rate, random);
      while (at < phase_end) {
        schedule.push_back({at, phase, PickWorkload(experiment.workloads, random), random.HexId()});
        at += DrawInterarrivalTime(experiment.phases[phase].rate, random);
      }
    }
    phase_start = phase_end;
  }
  return schedule;
}

}  // namespace limpet::load
