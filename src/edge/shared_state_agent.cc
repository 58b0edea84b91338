#include "limpet/edge/shared_state_agent.h"

namespace limpet::edge {

namespace {

wire::LinkMessage MakeMessage(wire::SharedState state) {
  wire::LinkMessage message;
  message.__isset.shared_state = true;
  message.shared_state = std::move(state);
  return message;
}

}  // namespace

void SharedStateAgent::Watch(std::string prefix, ChangeHandler on_change) {
  handlers_.emplace_back(std::move(prefix), std::move(on_change));
}

void SharedStateAgent::Notify(const std::string& key) const {
  // A copy, because a handler may set entries.
  const wire::SharedEntry entry = *state_.Find(key);
  for (const auto& [prefix, on_change] : handlers_) {
    if (key.starts_with(prefix)) {
      on_change(entry);
    }
  }
}

bool SharedStateAgent::Set(const wire::SharedEntry& entry) {
  if (!state_.Set(entry)) {
    return false;
  }
  counters_.Get("shared_state_entries").Set(static_cast<int64_t>(state_.entries().size()));
  links_.Broadcast(MakeMessage(state_.MakePush(entry.key)), "");
  Notify(entry.key);
  return true;
}

void SharedStateAgent::OnMessage(TimePoint now,
                                 const std::string& peer,
                                 const wire::SharedState& message) {
  const SharedState::Merge merge = state_.OnMessage(now, peer, message);
  counters_.Get("shared_state_entries").Set(static_cast<int64_t>(state_.entries().size()));
  if (merge.reply) {
    counters_.Get("shared_state_repairs").Add();
    links_.Send(peer, MakeMessage(*merge.reply));
  }
  for (const std::string& key : merge.changed_keys) {
    Notify(key);
  }
}

void SharedStateAgent::OnPeerReachable(const std::string& peer) {
  if (!state_.entries().empty()) {
    links_.Send(peer, MakeMessage(state_.MakeDigest()));
  }
}

void SharedStateAgent::Tick(TimePoint now) {
  if (!state_.TakeDigestDue(now)) {
    return;
  }
  for (const wire::NodeAddress& node : links_.SampleNodes(1)) {
    links_.Send(node.name, MakeMessage(state_.MakeDigest()));
  }
}

}  // namespace limpet::edge
