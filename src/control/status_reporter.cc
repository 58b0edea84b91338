#include "control/status_reporter.h"

#include <utility>

namespace limpet {

void StatusReporter::Tick(TimePoint now,
                          const ConfigStore& store,
                          const Membership& membership,
                          const std::vector<wire::MemberRecord>& readers,
                          StatusAggregator& local_aggregator,
                          ControlOutput& output) {
  wire::StatusReport report;
  report.version = store.version();
  if (store.refusal()) {
    report.refused_version = store.refusal()->version;
    report.refusal_reason = store.refusal()->reason;
  }
  std::vector<std::string> names;
  names.reserve(readers.size());
  for (const wire::MemberRecord& reader : readers) {
    names.push_back(reader.name);
  }
  if (now < next_report_ && last_ && *last_ == report && names == last_readers_) {
    return;
  }
  next_report_ = now + random_.Jitter(kInterval, 0.1);
  last_ = report;
  last_readers_ = std::move(names);
  wire::Message message;
  message.status_report = report;
  message.__isset.status_report = true;
  for (const wire::MemberRecord& reader : readers) {
    if (reader.name == membership.local().name) {
      local_aggregator.Report(reader.name, report);
    } else {
      output.messages.push_back(
          {{reader.host, reader.port}, MakeEnvelope(membership.local(), message)});
    }
  }
}

}  // namespace limpet
