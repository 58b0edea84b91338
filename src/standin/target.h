#ifndef LIMPET_SRC_STANDIN_TARGET_H_
#define LIMPET_SRC_STANDIN_TARGET_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/net/http_server.h"

namespace limpet {

struct StandinTargetOptions {
  /// Requests beyond this number are shed with 503.
  int slots = 12;
  Duration service_time{0};
  /// Service times are uniform within +-spread of the mean.
  double spread = 0.2;
  /// Until this time after the start the state is "starting" and service takes `cold_factor` times
  /// as long.
  Duration cold_start{0};
  double cold_factor = 5;
  uint64_t seed = 1;
};

/// Behaviour that POST /faults switches on; absent JSON members keep their value.
struct StandinTargetFaults {
  /// Multiplies the service time.
  double slow_factor = 1;
  bool shed_all = false;
  /// Executes the request, then closes the connection without an answer.
  bool drop_answers = false;
  /// State that /health reports instead of the true one; empty for the truth.
  std::string health_state;
  /// Load that /health reports instead of the true one; -1 for the truth.
  int health_in_flight = -1;
  /// /health reports state and load as they were this long ago.
  Duration health_lag{0};
};

/// Stand-in for a target: an HTTP service with slots, service time, drain, deadlines and
/// cancellation. Paths: GET /health, GET /executions, POST /faults, POST /drain, POST /undrain; any
/// other path executes the request and echoes request id and body.
class StandinTarget {
 public:
  explicit StandinTarget(StandinTargetOptions options);

  HttpResponse Handle(const HttpRequest& request, const ConnectionWatch& watch);

 private:
  struct Observation {
    TimePoint time;
    std::string state;
    int in_flight = 0;
  };

  HttpResponse Execute(const HttpRequest& request, const ConnectionWatch& watch);
  HttpResponse Health();
  HttpResponse Executions();
  HttpResponse ChangeFaults(const std::string& json);
  HttpResponse Drain(bool draining);
  /// Counts the execution and takes a slot; false if the request has to be shed.
  bool Take(const std::string& request_id);
  Duration DrawServiceTime(TimePoint now);
  std::string State(TimePoint now) const;
  void Observe(TimePoint now);

  const StandinTargetOptions options_;
  const TimePoint start_;
  std::mutex mutex_;
  Random random_;
  StandinTargetFaults faults_;
  bool draining_ = false;
  int in_flight_ = 0;
  int shed_ = 0;
  int cancelled_ = 0;
  int missed_deadlines_ = 0;
  std::map<std::string, int> executions_;
  std::deque<Observation> observations_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_STANDIN_TARGET_H_
