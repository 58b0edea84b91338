#include "limpet/edge/target_probe.h"

#include <utility>

namespace limpet::edge {

namespace {

/// The target is on the same VM.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(100);
/// A busy target responds only when a slot is free.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(500);

}  // namespace

TargetProbe::TargetProbe(const Executor& executor, const HttpHeaderNames& header_names)
    : executor_(executor), header_names_(header_names) {}

TargetProbe::~TargetProbe() {
  if (connection_) {
    connection_->Close();
  }
}

void TargetProbe::Send(const PeerAddress& target,
                       const std::string& health_path,
                       Callback on_instance) {
  HttpConnectionOptions options;
  options.peer = target;
  options.connect_timeout = kConnectTimeout;
  connection_ = std::make_shared<HttpConnection>(executor_, options);
  HttpRequest request;
  request.method = "GET";
  request.target = health_path;
  connection_->Send(
      std::move(request), kResponseTimeout, [](const HttpHeaders&) { return true; },
      [this, on_instance = std::move(on_instance)](const ExchangeResult& result) {
        const HttpConnectionPtr connection = std::exchange(connection_, nullptr);
        connection->Close();
        const std::string instance(result.response.Header(header_names_.instance));
        const bool healthy =
            result.status == ExchangeStatus::kResponded && result.response.status == 200;
        if (healthy && !instance.empty()) {
          on_instance(instance);
        }
      });
}

}  // namespace limpet::edge
