#include "limpet/edge/rollout_agent.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "limpet/core/error.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/// Pause after a failed call of the store.
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(300);
constexpr double kPermille = 1000;

}  // namespace

RolloutAgent::RolloutAgent(std::string self,
                           RolloutOptions options,
                           RolloutAgentDependencies dependencies)
    : self_(std::move(self)), options_(options), node_(dependencies) {}

void RolloutAgent::Start() {
  node_.gate.set_on_sample([this](const TargetSample& sample) { meter_.OnSample(sample); });
  node_.shared_state.Watch(std::string(kOrderPrefix),
                           [this](const wire::SharedEntry& entry) { OnOrderEntry(entry); });
  node_.shared_state.Watch(std::string(kRolloutPrefix),
                           [this](const wire::SharedEntry& entry) { OnStatusEntry(entry); });
  node_.coordination.WatchRolloutOrders(
      [this](const RolloutOrder& order, int64_t token) { OnStoreOrder(order, token); });
}

void RolloutAgent::OnStoreOrder(const RolloutOrder& order, int64_t token) {
  wire::SharedEntry entry;
  entry.key = std::string(kOrderPrefix) + order.service;
  entry.token = token;
  entry.value = EncodeRolloutOrder(order);
  node_.shared_state.Set(entry);
}

void RolloutAgent::OnOrderEntry(const wire::SharedEntry& entry) {
  try {
    const RolloutOrder order = DecodeRolloutOrder(entry.value);
    if (!node_.table.SetOrder(MonotonicNow(), order)) {
      return;
    }
    orders_[order.service] = order;
    LogEvent("rollout_ordered")
        .Add("service", order.service)
        .Add("target_version", order.target_version)
        .Add("duration_ms", order.duration)
        .Add("order", order.Id());
    node_.counters.Get("rollout_orders").Add();
  } catch (const DecodeError& error) {
    LogEvent("rollout_entry_malformed").Add("key", entry.key).Add("problem", error.what());
  }
}

void RolloutAgent::OnStatusEntry(const wire::SharedEntry& entry) {
  try {
    const std::string service = entry.key.substr(kRolloutPrefix.size());
    const RolloutStatus status = DecodeRolloutStatus(entry.value);
    node_.table.SetStatus(MonotonicNow(), service, status);
    LogEvent("rollout_state")
        .Add("service", service)
        .Add("target_version", status.target_version)
        .Add("state", EnumName(kRolloutStateNames, status.state))
        .Add("share_permille", static_cast<int64_t>(status.share * kPermille))
        .Add("sequence", status.sequence)
        .Add("order", status.order);
    const std::string prefix = "rollout_" + service + "_";
    node_.counters.Get(prefix + "state").Set(static_cast<int64_t>(status.state));
    node_.counters.Get(prefix + "share_permille")
        .Set(static_cast<int64_t>(status.share * kPermille));
    node_.counters.Get(prefix + "order").Set(status.order);
    CloseTarget();
  } catch (const DecodeError& error) {
    LogEvent("rollout_entry_malformed").Add("key", entry.key).Add("problem", error.what());
  }
}

void RolloutAgent::CloseTarget() {
  const wire::TargetStatus target = node_.inbound.Status();
  const bool closed = node_.table.IsClosed(target.service_name, target.software);
  if (closed == closed_) {
    return;
  }
  closed_ = closed;
  LogEvent(closed ? "target_closed" : "target_reopened")
      .Add("instance", target.instance)
      .Add("software", target.software);
  node_.inbound.SetClosed(closed);
}

void RolloutAgent::OnReport(TimePoint now,
                            const std::string& node,
                            const wire::RolloutReport& report) {
  const auto found = held_.find(report.service_name);
  if (found != held_.end()) {
    found->second.controller->OnReport(now, node, report);
  }
}

void RolloutAgent::ReportTarget(TimePoint now) {
  const wire::TargetStatus target = node_.inbound.Status();
  const RolloutOrder* order = node_.table.FindOrder(target.service_name);
  if (order == nullptr || target.instance.empty()) {
    return;
  }
  meter_.Start(order->Id(), target.instance);
  const auto status = node_.table.FindStatus(now, target.service_name);
  const bool is_final =
      status && status->order == order->Id() &&
      (status->state == RolloutState::kCompleted || status->state == RolloutState::kRolledBack);
  if (now < next_report_ || is_final) {
    return;
  }
  next_report_ = now + kReportInterval;
  wire::LinkMessage message;
  message.__isset.rollout_report = true;
  wire::RolloutReport& report = message.rollout_report;
  report.service_name = target.service_name;
  report.instance = target.instance;
  report.software = target.software;
  report.order = order->Id();
  report.applied_sequence = status ? status->sequence : 0;
  report.closed = node_.gate.HasClosed();
  report.routes = meter_.Results();
  const std::string holder =
      node_.lease.HolderOf(now, node_.lease.PartitionOf(target.service_name));
  if (holder == self_) {
    OnReport(now, self_, report);
  } else if (!holder.empty()) {
    node_.links.Send(holder, message);
  }
}

void RolloutAgent::Tick(TimePoint now) {
  if (orders_.empty()) {
    return;
  }
  CloseTarget();
  ReportTarget(now);
  for (const auto& [service, order] : orders_) {
    Decide(now, order);
  }
}

void RolloutAgent::Decide(TimePoint now, const RolloutOrder& order) {
  const auto token = node_.lease.Token(now, node_.lease.PartitionOf(order.service));
  if (!token) {
    held_.erase(order.service);
    return;
  }
  Held& held = held_[order.service];
  const bool is_current =
      held.controller && held.token == *token && held.controller->order() == order;
  if (!is_current) {
    held = {std::make_unique<RolloutController>(options_, order,
                                                node_.table.OrderSeenAt(order.service)),
            *token, false};
    if (const auto status = node_.table.FindStatus(now, order.service)) {
      held.controller->Resume(now, *status);
    }
  }
  if (!held.resumed) {
    ReadStored(now, order.service);
    return;
  }
  if (const auto status = held.controller->Decide(now)) {
    if (status->state == RolloutState::kRolledBack) {
      LogEvent("rollout_rolled_back")
          .Add("service", order.service)
          .Add("target_version", order.target_version)
          .Add("reason", held.controller->reason())
          .Add("requests", held.controller->requests())
          .Add("new_requests", held.controller->new_requests());
    }
    Publish(order.service, *token, *status);
  }
  node_.counters.Get("rollout_" + order.service + "_new_requests")
      .Set(held.controller->new_requests());
  node_.counters.Get("rollout_" + order.service + "_requests").Set(held.controller->requests());
  WriteStored(now, order.service);
}

void RolloutAgent::ReadStored(TimePoint now, const std::string& service) {
  if (read_pending_ || now < next_store_call_) {
    return;
  }
  read_pending_ = true;
  node_.coordination.ReadRollouts(
      [this, service, token = held_.at(service).token, alive = std::weak_ptr(alive_)](
          const std::optional<std::vector<Coordination::StoredRollout>>& rollouts) {
        if (alive.expired()) {
          return;
        }
        read_pending_ = false;
        if (!rollouts) {
          next_store_call_ = MonotonicNow() + kStoreRetryInterval;
          return;
        }
        const auto found = held_.find(service);
        if (found == held_.end() || found->second.token != token) {
          return;
        }
        found->second.resumed = true;
        for (const Coordination::StoredRollout& rollout : *rollouts) {
          if (rollout.service == service) {
            found->second.controller->OnStoredState(rollout.target_version, rollout.state);
          }
        }
      });
}

void RolloutAgent::WriteStored(TimePoint now, const std::string& service) {
  const Held& held = held_.at(service);
  const auto state = held.controller->StateToWrite();
  if (!state || write_pending_ || now < next_store_call_) {
    return;
  }
  write_pending_ = true;
  const RolloutOrder& order = held.controller->order();
  node_.coordination.WriteRollout({service, order.target_version, *state},
                                  [this, service, token = held.token, id = order.Id(),
                                   state = *state, alive = std::weak_ptr(alive_)](bool done) {
                                    if (alive.expired()) {
                                      return;
                                    }
                                    write_pending_ = false;
                                    LogEvent("rollout_written")
                                        .Add("service", service)
                                        .Add("state", EnumName(kRolloutStateNames, state))
                                        .Add("done", int{done});
                                    if (!done) {
                                      next_store_call_ = MonotonicNow() + kStoreRetryInterval;
                                      return;
                                    }
                                    const auto found = held_.find(service);
                                    if (found != held_.end() && found->second.token == token &&
                                        found->second.controller->order().Id() == id) {
                                      found->second.controller->OnWritten(state);
                                    }
                                  });
}

void RolloutAgent::Publish(const std::string& service, int64_t token, const RolloutStatus& status) {
  wire::SharedEntry entry;
  entry.key = std::string(kRolloutPrefix) + service;
  entry.token = token;
  entry.sequence = status.sequence;
  entry.value = EncodeRolloutStatus(status);
  node_.shared_state.Set(entry);
}

}  // namespace limpet::edge
