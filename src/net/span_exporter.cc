#include "limpet/net/span_exporter.h"

#include <spdlog/spdlog.h>

#include <fstream>
#include <memory>
#include <utility>

#include "limpet/core/error.h"
#include "limpet/net/target_client.h"

namespace limpet {

namespace {

constexpr Duration kCollectorTimeout = std::chrono::seconds(2);

SpanExporter::Sink MakeFileSink(const std::string& path) {
  const auto file = std::make_shared<std::ofstream>(path, std::ios::app);
  if (!*file) {
    throw FileError({path, 0}, "cannot be opened for spans; check the path and its permissions");
  }
  return [file](const std::string& document) {
    *file << document << '\n' << std::flush;
    if (!*file) {
      file->clear();
      throw Error("writing to the span file failed");
    }
  };
}

SpanExporter::Sink MakeCollectorSink(const std::string& host, int port) {
  const auto client = std::make_shared<TargetClient>(host, port);
  return [client](const std::string& document) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/traces";
    request.headers.push_back(MakeHeader("Content-Type", "application/json"));
    request.body = document;
    // Sent as idempotent: a batch that is sent twice only duplicates spans with the same ids.
    const auto response = client->Exchange(request, true, kCollectorTimeout, [] { return false; });
    if (response.status != 200) {
      throw Error("the span collector returned status " + std::to_string(response.status));
    }
  };
}

}  // namespace

SpanExporter::SpanExporter(std::string service_name, Sink sink, Counters& counters)
    : service_name_(std::move(service_name)),
      sink_(std::move(sink)),
      exported_(counters.Get("spans_exported")),
      dropped_(counters.Get("spans_dropped")),
      failed_(counters.Get("spans_failed")),
      queue_(kQueueLength) {
  if (sink_) {
    thread_ = std::thread([this] { Run(); });
  }
}

SpanExporter::~SpanExporter() {
  queue_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void SpanExporter::Export(Span span) {
  if (sink_ && !queue_.Push(std::move(span))) {
    dropped_.Add();
  }
}

void SpanExporter::Run() {
  std::vector<Span> batch;
  while (auto span = queue_.Pop()) {
    while (span) {
      batch.push_back(std::move(*span));
      span = batch.size() < kBatchLength ? queue_.TryPop() : std::nullopt;
    }
    Write(batch);
    batch.clear();
  }
}

void SpanExporter::Write(const std::vector<Span>& batch) {
  const auto count = static_cast<int64_t>(batch.size());
  try {
    sink_(ToOtlpJson(service_name_, batch));
    exported_.Add(count);
  } catch (const std::exception& error) {
    failed_.Add(count);
    spdlog::debug("[trace] {} spans lost, writing failed: {}", count, error.what());
  }
}

SpanExporter::Sink MakeSpanSink(const NodeSettings& settings) {
  switch (settings.trace_output) {
    case TraceOutput::kFile:
      return MakeFileSink(settings.trace_file);
    case TraceOutput::kCollector:
      return MakeCollectorSink(settings.trace_collector_host, settings.trace_collector_port);
    case TraceOutput::kNone:
      break;
  }
  return {};
}

}  // namespace limpet
