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
  /// Requests executed at once; further ones are refused with 503.
  int slots = 12;
  Duration service_time{0};
  /// Service times are uniformly distributed within this share above and below the mean.
  double spread = 0.2;
  /// For this long after the start the state is "starting" and the service time is multiplied by
  /// `cold_factor`.
  Duration cold_start{0};
  double cold_factor = 5;
  uint64_t seed = 1;
};

/// Faults set by POST /faults. A member that is absent from the JSON body keeps its value.
struct StandinTargetFaults {
  /// Multiplies the service time.
  double slow_factor = 1;
  bool refuse_all = false;
  /// Executes the request, then closes the connection without a response.
  bool drop_responses = false;
  /// State that /health reports; empty for the actual state.
  std::string health_state;
  /// Number of requests in flight that /health reports; -1 for the actual number.
  int health_in_flight = -1;
  /// Age of the state and the load that /health reports.
  Duration health_lag{0};
};

/// Stand-in for a target: an HTTP service with slots, service time, draining, deadlines and
/// cancellation. Paths: GET /health, GET /executions, POST /faults, POST /drain, POST /undrain. A
/// request for any other path is executed; its response holds the request id and the body.
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
  HttpResponse HandleHealth();
  HttpResponse HandleExecutions();
  HttpResponse SetFaults(const std::string& json);
  HttpResponse SetDraining(bool draining);
  /// Takes a slot and counts the execution. Returns false if the request must be refused.
  bool TryStartExecution(const std::string& request_id);
  Duration DrawServiceTime(TimePoint now);
  std::string CurrentState(TimePoint now) const;
  void RecordObservation(TimePoint now);

  const StandinTargetOptions options_;
  const TimePoint start_time_;
  std::mutex mutex_;
  Random random_;
  StandinTargetFaults faults_;
  bool draining_ = false;
  int in_flight_ = 0;
  int refused_ = 0;
  int cancelled_ = 0;
  int missed_deadlines_ = 0;
  std::map<std::string, int> executions_;
  std::deque<Observation> observations_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_STANDIN_TARGET_H_
