#include "limpet/net/target_monitor.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace limpet {

void TargetHealth::OnProbe(std::optional<wire::TargetState::type> state) {
  if (!state) {
    if (++failures_ >= kFailuresUntilDown) {
      drain_announced_ = false;
      state_ = wire::TargetState::kDown;
    }
    return;
  }
  failures_ = 0;
  if (!drain_announced_) {
    state_ = *state;
  }
}

void TargetHealth::OnAnnouncement(wire::TargetState::type state) {
  drain_announced_ = state == wire::TargetState::kDraining;
  failures_ = 0;
  state_ = state;
}

std::optional<wire::TargetState::type> ParseHealth(const HttpResponse& response) {
  if (response.status != 200) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (!json.is_object() || !json.contains("state") || !json["state"].is_string()) {
    return wire::TargetState::kUp;
  }
  return ParseEnumName(kTargetStateNames, json["state"].get<std::string>());
}

TargetMonitor::TargetMonitor(TargetMonitorOptions options, TargetClient& target, Listener listener)
    : options_(std::move(options)), target_(target), listener_(std::move(listener)) {
  thread_ = std::thread([this] { Run(); });
}

TargetMonitor::~TargetMonitor() {
  Stop();
}

void TargetMonitor::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool TargetMonitor::Announce(std::string_view state) {
  const auto value = ParseEnumName(kTargetStateNames, state);
  if (!value) {
    return false;
  }
  ApplyChange([&] { health_.OnAnnouncement(*value); });
  return true;
}

wire::TargetState::type TargetMonitor::state() const {
  const std::lock_guard lock(mutex_);
  return health_.state();
}

void TargetMonitor::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    const auto state = Probe();
    ApplyChange([&] { health_.OnProbe(state); });
    lock.lock();
    stopped_.wait_for(lock, options_.interval, [&] { return stopping_; });
  }
}

std::optional<wire::TargetState::type> TargetMonitor::Probe() {
  HttpRequest request;
  request.path = options_.health_path;
  try {
    return ParseHealth(target_.Exchange(request, true, options_.timeout, [] { return false; }));
  } catch (const ExchangeError& error) {
    spdlog::debug("[target] health probe failed: {}", error.what());
    return std::nullopt;
  }
}

void TargetMonitor::ApplyChange(const std::function<void()>& change) {
  const std::lock_guard lock(mutex_);
  const auto old_state = health_.state();
  change();
  const auto new_state = health_.state();
  if (new_state != old_state) {
    spdlog::info("[target] {} -> {}", EnumName(kTargetStateNames, old_state),
                 EnumName(kTargetStateNames, new_state));
    listener_(new_state);
  }
}

}  // namespace limpet
