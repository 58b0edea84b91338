#include "standin/target.h"

#include <sys/socket.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "limpet/net/clock.h"

namespace limpet {

namespace {

/// Interval at which an execution checks whether the caller has closed the connection.
constexpr Duration kCancelPollInterval = std::chrono::milliseconds(2);
constexpr Duration kMaxHealthLag = std::chrono::seconds(60);

enum class ExecutionEnd { kFinished, kCancelled, kDeadlineMissed };

ExecutionEnd SimulateExecution(Duration service_time,
                               Duration deadline,
                               const ConnectionWatch& watch) {
  const TimePoint start = MonotonicNow();
  const TimePoint end = start + std::min(service_time, deadline);
  for (TimePoint now = start; now < end; now = MonotonicNow()) {
    if (watch.IsClosed()) {
      return ExecutionEnd::kCancelled;
    }
    std::this_thread::sleep_for(std::min(kCancelPollInterval, end - now));
  }
  return service_time > deadline ? ExecutionEnd::kDeadlineMissed : ExecutionEnd::kFinished;
}

Duration RemainingTime(const HttpRequest& request) {
  const int millis = ParseNonNegative(request.Header(kDeadlineHeader), -1);
  return millis < 0 ? Duration::max() : std::chrono::milliseconds(millis);
}

}  // namespace

StandinTarget::StandinTarget(StandinTargetOptions options)
    : options_(options), start_time_(MonotonicNow()), random_(options.seed) {}

HttpResponse StandinTarget::Handle(const HttpRequest& request, const ConnectionWatch& watch) {
  if (request.path == "/health") {
    return HandleHealth();
  }
  if (request.path == "/executions") {
    return HandleExecutions();
  }
  if (request.path == "/faults") {
    return SetFaults(request.body);
  }
  if (request.path == "/drain" || request.path == "/undrain") {
    return SetDraining(request.path == "/drain");
  }
  return Execute(request, watch);
}

HttpResponse StandinTarget::Execute(const HttpRequest& request, const ConnectionWatch& watch) {
  const std::string request_id(request.Header(kRequestIdHeader));
  if (!TryStartExecution(request_id)) {
    HttpResponse response = TextResponse(503, "no free slot\n");
    response.headers.push_back(MakeHeader(kTargetNotRunHeader, "1"));
    return response;
  }
  Duration service_time;
  {
    const std::lock_guard lock(mutex_);
    service_time = DrawServiceTime(MonotonicNow());
  }
  const ExecutionEnd end_kind = SimulateExecution(service_time, RemainingTime(request), watch);
  const std::lock_guard lock(mutex_);
  --in_flight_;
  RecordObservation(MonotonicNow());
  cancelled_ += end_kind == ExecutionEnd::kCancelled ? 1 : 0;
  missed_deadlines_ += end_kind == ExecutionEnd::kDeadlineMissed ? 1 : 0;
  if (end_kind == ExecutionEnd::kDeadlineMissed) {
    return TextResponse(504, "deadline passed during execution\n");
  }
  if (faults_.drop_responses) {
    ::shutdown(watch.fd(), SHUT_RDWR);
  }
  HttpResponse response = TextResponse(200, request_id + "\n" + request.body);
  response.headers.push_back(MakeHeader(kRequestIdHeader, request_id));
  return response;
}

bool StandinTarget::TryStartExecution(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  if (draining_ || faults_.refuse_all || in_flight_ >= options_.slots) {
    ++refused_;
    return false;
  }
  ++in_flight_;
  ++executions_[request_id];
  RecordObservation(MonotonicNow());
  return true;
}

Duration StandinTarget::DrawServiceTime(TimePoint now) {
  const double factor = now - start_time_ < options_.cold_start ? options_.cold_factor : 1;
  const auto mean =
      std::chrono::duration_cast<Duration>(options_.service_time * factor * faults_.slow_factor);
  return random_.Jitter(mean, options_.spread);
}

std::string StandinTarget::CurrentState(TimePoint now) const {
  if (draining_) {
    return "draining";
  }
  return now - start_time_ < options_.cold_start ? "starting" : "up";
}

void StandinTarget::RecordObservation(TimePoint now) {
  observations_.push_back({now, CurrentState(now), in_flight_});
  while (observations_.size() > 1 && observations_[1].time < now - kMaxHealthLag) {
    observations_.pop_front();
  }
}

HttpResponse StandinTarget::HandleHealth() {
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  RecordObservation(now);
  Observation reported = observations_.front();
  for (const auto& observation : observations_) {
    if (observation.time <= now - faults_.health_lag) {
      reported = observation;
    }
  }
  const std::string state = faults_.health_state.empty() ? reported.state : faults_.health_state;
  const int in_flight =
      faults_.health_in_flight < 0 ? reported.in_flight : faults_.health_in_flight;
  const nlohmann::json json = {
      {"state", state}, {"in_flight", in_flight}, {"slots", options_.slots}};
  return JsonResponse(200, json.dump());
}

HttpResponse StandinTarget::HandleExecutions() {
  const std::lock_guard lock(mutex_);
  const auto executed_repeatedly = std::count_if(
      executions_.begin(), executions_.end(), [](const auto& entry) { return entry.second > 1; });
  const nlohmann::json json = {
      {"executions", executions_}, {"doubled", executed_repeatedly},
      {"shed", refused_},          {"cancelled", cancelled_},
      {"in_flight", in_flight_},   {"missed_deadlines", missed_deadlines_}};
  return JsonResponse(200, json.dump());
}

HttpResponse StandinTarget::SetFaults(const std::string& json) {
  const std::lock_guard lock(mutex_);
  try {
    const auto change = nlohmann::json::parse(json);
    StandinTargetFaults faults = faults_;
    faults.slow_factor = change.value("slow_factor", faults.slow_factor);
    faults.refuse_all = change.value("shed_all", faults.refuse_all);
    faults.drop_responses = change.value("drop_answers", faults.drop_responses);
    faults.health_state = change.value("health_state", faults.health_state);
    faults.health_in_flight = change.value("health_in_flight", faults.health_in_flight);
    if (change.contains("health_lag_ms")) {
      faults.health_lag = std::chrono::milliseconds(change.at("health_lag_ms").get<int>());
    }
    faults_ = faults;
  } catch (const nlohmann::json::exception& error) {
    return TextResponse(400, std::string(error.what()) + "\n");
  }
  return JsonResponse(200, "{}");
}

HttpResponse StandinTarget::SetDraining(bool draining) {
  const std::lock_guard lock(mutex_);
  draining_ = draining;
  RecordObservation(MonotonicNow());
  return JsonResponse(200, "{}");
}

}  // namespace limpet
