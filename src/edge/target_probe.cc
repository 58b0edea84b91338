#include "limpet/edge/target_probe.h"

#include <utility>

namespace limpet::edge {

namespace {

/// The target is on the same VM.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(100);
/// A busy target responds only when a slot is free, so a check that is sent again waits again.
constexpr Duration kResponseTimeout = std::chrono::seconds(2);

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
                       Callback on_result) {
  HttpConnectionOptions options;
  options.peer = target;
  options.connect_timeout = kConnectTimeout;
  connection_ = std::make_shared<HttpConnection>(executor_, options);
  HttpRequest request;
  request.method = "GET";
  request.target = health_path;
  connection_->Send(
      std::move(request), kResponseTimeout, [](const HttpHeaders&) { return true; },
      [this, on_result = std::move(on_result)](const ExchangeResult& result) {
        const HttpConnectionPtr connection = std::exchange(connection_, nullptr);
        connection->Close();
        Result checked;
        if (result.status == ExchangeStatus::kResponded) {
          checked.status = result.response.status;
          checked.instance = std::string(result.response.Header(header_names_.instance));
          checked.healthy = checked.status == 200 && !checked.instance.empty();
        }
        on_result(checked);
      });
}

}  // namespace limpet::edge
