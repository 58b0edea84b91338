#include "limpet/load/runner.h"

#include <spdlog/fmt/fmt.h>
#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "limpet/core/error.h"
#include "limpet/load/schedule.h"
#include "limpet/net/clock.h"
#include "limpet/net/target_client.h"
#include "load/caller_client.h"

namespace limpet::load {
namespace {

constexpr Duration kStandInTimeout = std::chrono::seconds(5);
constexpr Duration kProgressInterval = std::chrono::seconds(1);
constexpr Duration kStartDelay = std::chrono::milliseconds(100);

std::string CallStandIn(const HostPort& stand_in,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body) {
  const std::string address = stand_in.host + ":" + std::to_string(stand_in.port) + path;
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  HttpResponse response;
  try {
    TargetClient client(stand_in.host, stand_in.port);
    response = client.Exchange(request, false, kStandInTimeout, [] { return false; });
  } catch (const ExchangeError& error) {
    throw Error(address + " request failed: " + error.what());
  }
  if (response.status >= 300) {
    throw Error(address + " returned status " + std::to_string(response.status));
  }
  return response.body;
}

/// Sends the scheduled requests to one arm from a fixed number of threads.
class ArmRunner {
 public:
  ArmRunner(const Experiment& experiment,
            const Arm& arm,
            const std::vector<Arrival>& schedule,
            TimePoint start)
      : experiment_(experiment),
        arm_(arm),
        schedule_(schedule),
        start_(start),
        observations_(schedule.size()) {
    for (int i = 0; i < experiment.connections; ++i) {
      threads_.emplace_back([this, i] { SendRequests(static_cast<std::size_t>(i)); });
    }
  }

  void Join() {
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  const std::vector<Observation>& observations() const { return observations_; }
  std::size_t completed() const { return completed_.load(); }

 private:
  void SendRequests(std::size_t thread) {
    CallerClient client(arm_.nodes[thread % arm_.nodes.size()]);
    for (std::size_t index = next_++; index < schedule_.size(); index = next_++) {
      const Arrival& arrival = schedule_[index];
      const TimePoint planned = start_ + arrival.at;
      std::this_thread::sleep_until(planned);
      Observation observation =
          client.Send(experiment_.workloads[arrival.workload], arrival.request_id);
      observation.latency = MonotonicNow() - planned;
      observations_[index] = std::move(observation);
      ++completed_;
    }
  }

  const Experiment& experiment_;
  const Arm& arm_;
  const std::vector<Arrival>& schedule_;
  const TimePoint start_;
  std::vector<Observation> observations_;
  std::atomic<std::size_t> next_{0};
  std::atomic<std::size_t> completed_{0};
  std::vector<std::thread> threads_;
};

void InjectDueFaults(std::vector<FaultAction>& pending,
                     Duration elapsed,
                     const ProgressSink& sink) {
  while (!pending.empty() && pending.front().at <= elapsed) {
    CallStandIn(pending.front().stand_in, "POST", "/faults", pending.front().body);
    sink(fmt::format("{:6.1f} s  fault {}", static_cast<double>(elapsed.count()) / 1e6,
                     pending.front().name));
    pending.erase(pending.begin());
  }
}

std::string ProgressLine(Duration elapsed,
                         const std::vector<Arm>& arms,
                         const std::vector<std::unique_ptr<ArmRunner>>& runners,
                         std::size_t total) {
  std::string line = fmt::format("{:6.1f} s", static_cast<double>(elapsed.count()) / 1e6);
  for (std::size_t i = 0; i < arms.size(); ++i) {
    line += fmt::format("  {} {}/{}", arms[i].name, runners[i]->completed(), total);
  }
  return line;
}

void Supervise(const Experiment& experiment,
               const std::vector<std::unique_ptr<ArmRunner>>& runners,
               std::size_t total,
               TimePoint start,
               const ProgressSink& progress) {
  std::vector<FaultAction> pending = experiment.faults;
  std::stable_sort(pending.begin(), pending.end(),
                   [](const FaultAction& a, const FaultAction& b) { return a.at < b.at; });
  Duration length{0};
  for (const Phase& phase : experiment.phases) {
    length += phase.length;
  }
  TimePoint next_progress = start + kProgressInterval;
  while (MonotonicNow() < start + length) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const TimePoint now = MonotonicNow();
    InjectDueFaults(pending, now - start, progress);
    if (now >= next_progress) {
      progress(ProgressLine(now - start, experiment.arms, runners, total));
      next_progress += kProgressInterval;
    }
  }
}

Executions CollectExecutions(const Arm& arm) {
  Executions executions;
  for (const HostPort& target : arm.targets) {
    try {
      const auto document = nlohmann::json::parse(CallStandIn(target, "GET", "/executions", ""));
      for (const auto& [request_id, count] : document.at("executions").items()) {
        executions[request_id] += count.get<uint64_t>();
      }
    } catch (const nlohmann::json::exception& error) {
      throw Error("target stand-in on port " + std::to_string(target.port) +
                  " sent an invalid /executions response: " + error.what());
    }
  }
  return executions;
}

}  // namespace

std::vector<ArmResult> Run(const Experiment& experiment, const ProgressSink& progress) {
  const std::vector<Arrival> schedule = MakeSchedule(experiment);
  const TimePoint start = MonotonicNow() + kStartDelay;
  std::vector<std::unique_ptr<ArmRunner>> runners;
  for (const Arm& arm : experiment.arms) {
    runners.push_back(std::make_unique<ArmRunner>(experiment, arm, schedule, start));
  }
  std::exception_ptr error;
  try {
    Supervise(experiment, runners, schedule.size(), start, progress);
  } catch (const Error&) {
    error = std::current_exception();
  }
  for (const auto& runner : runners) {
    runner->Join();
  }
  if (error) {
    std::rethrow_exception(error);
  }
  std::vector<ArmResult> results;
  for (std::size_t i = 0; i < runners.size(); ++i) {
    results.push_back(Summarise(experiment, experiment.arms[i], schedule,
                                runners[i]->observations(), CollectExecutions(experiment.arms[i])));
  }
  return results;
}

}  // namespace limpet::load
