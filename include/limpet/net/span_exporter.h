#ifndef LIMPET_NET_SPAN_EXPORTER_H_
#define LIMPET_NET_SPAN_EXPORTER_H_

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/net/bounded_queue.h"
#include "limpet/settings/node_settings.h"
#include "limpet/trace/span.h"

namespace limpet {

/// Writes finished spans in batches on a separate thread. `Export` never blocks the caller: if the
/// queue is full, the span is dropped and counted in `spans_dropped`.
class SpanExporter {
 public:
  /// Writes one OTLP/JSON document. Throws on failure.
  using Sink = std::function<void(const std::string&)>;

  static constexpr size_t kQueueLength = 1024;
  static constexpr size_t kBatchLength = 64;

  SpanExporter(std::string service_name, Sink sink, Counters& counters);
  ~SpanExporter();
  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  void Export(Span span);

 private:
  void Run();
  void Write(const std::vector<Span>& batch);

  const std::string service_name_;
  const Sink sink_;
  Counter& exported_;
  Counter& dropped_;
  Counter& failed_;
  BoundedQueue<Span> queue_;
  std::thread thread_;
};

/// Makes the sink that section [trace] of the settings selects; empty for output = none. Throws
/// `FileError` if the span file cannot be opened.
SpanExporter::Sink MakeSpanSink(const NodeSettings& settings);

}  // namespace limpet

#endif  // LIMPET_NET_SPAN_EXPORTER_H_
