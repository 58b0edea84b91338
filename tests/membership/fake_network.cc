#include "membership/fake_network.h"

#include <utility>

namespace limpet {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);

}  // namespace

Membership& FakeNetwork::Start(const std::string& name,
                               const std::string& data_centre,
                               int64_t incarnation) {
  MembershipOptions options;
  options.name = name;
  options.data_centre = data_centre;
  options.service = "desk";
  options.host = name;
  options.port = 7000;
  options.incarnation = incarnation;
  options.seeds = seeds;
  Node node;
  node.process = ++order_;
  node.counters = std::make_unique<Counters>();
  node.membership = std::make_unique<Membership>(options, Random(random_.Next()), *node.counters);
  nodes_[name] = std::move(node);
  Execute(name, [](Membership& membership, TimePoint now, ControlOutput& output) {
    membership.Start(now, output);
  });
  Push({now_ + Duration(random_.NextBelow(kTick.count())), 0, name, nodes_[name].process, nullptr});
  return At(name);
}

void FakeNetwork::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(std::move(event));
  }
  now_ = end;
}

std::vector<std::string> FakeNetwork::RunningMembers() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_) {
    names.push_back(name);
  }
  return names;
}

void FakeNetwork::Execute(
    const std::string& name,
    const std::function<void(Membership&, TimePoint, ControlOutput&)>& action) {
  ControlOutput output;
  action(At(name), now_, output);
  Send(name, output);
  if (observer) {
    observer(name);
  }
}

void FakeNetwork::Handle(Event event) {
  const auto it = nodes_.find(event.node);
  if (it == nodes_.end() || (!event.envelope && it->second.process != event.process)) {
    return;
  }
  if (is_paused(event.node)) {
    event.at = now_ + kTick;
    Push(std::move(event));
    return;
  }
  Execute(event.node, [&](Membership& membership, TimePoint now, ControlOutput& output) {
    if (event.envelope) {
      membership.OnMessage(now, *event.envelope, output);
    } else {
      membership.Tick(now, output);
    }
  });
  if (!event.envelope) {
    event.at = now_ + kTick;
    Push(std::move(event));
  }
}

void FakeNetwork::Send(const std::string& from, ControlOutput& output) {
  for (OutgoingMessage& message : output.messages) {
    if (random_.NextFraction() < loss || is_cut(from, message.to.host)) {
      continue;
    }
    const Duration spread = max_delay - min_delay;
    const Duration delay = min_delay + Duration(random_.NextBelow(spread.count() + 1));
    Push({now_ + delay, 0, message.to.host, 0,
          std::make_shared<wire::Envelope>(std::move(message.envelope))});
  }
}

void FakeNetwork::Push(Event event) {
  event.order = ++order_;
  events_.push(std::move(event));
}

}  // namespace limpet
