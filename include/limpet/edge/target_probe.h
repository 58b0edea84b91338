#ifndef LIMPET_EDGE_TARGET_PROBE_H_
#define LIMPET_EDGE_TARGET_PROBE_H_

#include <functional>
#include <memory>
#include <string>

#include "limpet/edge/http_connection.h"
#include "limpet/edge/http_header_names.h"

namespace limpet::edge {

/// Requests the target's health endpoint, which names the instance and shows whether it is leaving.
/// Each request uses a new connection, so that the response cannot be that of an earlier one.
class TargetProbe {
 public:
  struct Result {
    /// The target responded with 200 and its instance id.
    bool healthy = false;
    /// 0 without a response.
    int status = 0;
    std::string instance;
  };
  using Callback = std::function<void(const Result& result)>;

  /// `header_names` must outlive the probe.
  TargetProbe(const Executor& executor, const HttpHeaderNames& header_names);
  ~TargetProbe();
  TargetProbe(const TargetProbe&) = delete;
  TargetProbe& operator=(const TargetProbe&) = delete;

  /// `on_result` is called later, also without a response. Only one request may be pending.
  void Send(const PeerAddress& target, const std::string& health_path, Callback on_result);
  bool pending() const { return connection_ != nullptr; }

 private:
  Executor executor_;
  const HttpHeaderNames& header_names_;
  HttpConnectionPtr connection_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_TARGET_PROBE_H_
