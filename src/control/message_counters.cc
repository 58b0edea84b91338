#include "control/message_counters.h"

#include <cstdint>
#include <string>
#include <variant>

#include "limpet/wire/codec.h"

namespace limpet {
namespace {

using Isset = wire::_Message__isset;

struct KindName {
  const char* name;
  // A function, because the generated flags are bit fields and have no member pointers.
  bool (*is_set)(const Isset&);
};

constexpr KindName kKindNames[] = {
    {"ping", [](const Isset& isset) -> bool { return isset.ping; }},
    {"ack", [](const Isset& isset) -> bool { return isset.ack; }},
    {"ping_request", [](const Isset& isset) -> bool { return isset.ping_request; }},
    {"gossip", [](const Isset& isset) -> bool { return isset.gossip; }},
    {"join_request", [](const Isset& isset) -> bool { return isset.join_request; }},
    {"join_reply", [](const Isset& isset) -> bool { return isset.join_reply; }},
    {"bucket_digest", [](const Isset& isset) -> bool { return isset.bucket_digest; }},
    {"bucket_content", [](const Isset& isset) -> bool { return isset.bucket_content; }},
    {"delta_push", [](const Isset& isset) -> bool { return isset.delta_push; }},
    {"delta_request", [](const Isset& isset) -> bool { return isset.delta_request; }},
    {"checkpoint_request", [](const Isset& isset) -> bool { return isset.checkpoint_request; }},
    {"checkpoint_reply", [](const Isset& isset) -> bool { return isset.checkpoint_reply; }},
    {"checkpoint_refusal", [](const Isset& isset) -> bool { return isset.checkpoint_refusal; }},
    {"status_report", [](const Isset& isset) -> bool { return isset.status_report; }},
};

}  // namespace

MessageCounters::MessageCounters(Counters& counters)
    : reads_(counters.Get("log_reads")), appends_(counters.Get("log_appends")) {
  for (const KindName& kind : kKindNames) {
    kinds_.push_back({&counters.Get(std::string("control_messages_sent_") + kind.name),
                      &counters.Get(std::string("control_bytes_sent_") + kind.name)});
  }
}

void MessageCounters::Count(const ControlOutput& output) {
  for (const OutgoingMessage& message : output.messages) {
    const auto bytes = static_cast<int64_t>(wire::Encode(message.envelope).size());
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      if (kKindNames[i].is_set(message.envelope.message.__isset)) {
        kinds_[i].messages->Add();
        kinds_[i].bytes->Add(bytes);
        break;
      }
    }
  }
  for (const LogRequest& request : output.log_requests) {
    (std::holds_alternative<LogRead>(request) ? reads_ : appends_).Add();
  }
}

}  // namespace limpet
