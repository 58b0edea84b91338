#ifndef LIMPET_EDGE_TARGET_PROBE_H_
#define LIMPET_EDGE_TARGET_PROBE_H_

#include <functional>
#include <memory>
#include <string>

#include "limpet/edge/http_connection.h"
#include "limpet/edge/http_header_names.h"

namespace limpet::edge {

/// Requests the target's health endpoint to get its instance id. A node that has just started finds
/// its target this way and need not wait for the next heartbeat.
class TargetProbe {
 public:
  using Callback = std::function<void(const std::string& instance)>;

  /// `header_names` must outlive the probe.
  TargetProbe(const Executor& executor, const HttpHeaderNames& header_names);
  ~TargetProbe();
  TargetProbe(const TargetProbe&) = delete;
  TargetProbe& operator=(const TargetProbe&) = delete;

  /// `on_instance` is called later if the target responds with 200 and its instance id. It is not
  /// called otherwise.
  void Send(const PeerAddress& target, const std::string& health_path, Callback on_instance);
  bool pending() const { return connection_ != nullptr; }

 private:
  Executor executor_;
  const HttpHeaderNames& header_names_;
  HttpConnectionPtr connection_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_TARGET_PROBE_H_
