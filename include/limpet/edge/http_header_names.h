#ifndef LIMPET_EDGE_HTTP_HEADER_NAMES_H_
#define LIMPET_EDGE_HTTP_HEADER_NAMES_H_

#include <string>

namespace limpet::edge {

/// Names of the HTTP headers that callers, nodes and targets of one deployment exchange.
struct HttpHeaderNames {
  /// Request id, chosen by the caller and echoed by the target.
  std::string request_id = "X-Request-Id";
  /// Milliseconds until the sender stops waiting for the response.
  std::string deadline_ms = "X-Limpet-Deadline-Ms";
  /// Target instance that the request is meant for; any other instance refuses it.
  std::string expected_instance = "X-Limpet-Expected-Instance";
  /// Id of the target instance, on responses of its health endpoint.
  std::string instance = "X-Limpet-Instance";
  /// Present on a response if the target did not execute the request.
  std::string not_executed = "X-Limpet-Target-Not-Run";
  /// Present on every response that a target generated. If the name is empty, targets of this
  /// deployment do not sign responses.
  std::string response_signature;
  /// Service that runs on the VM from which the request came.
  std::string caller_service = "X-Limpet-Caller-Service";
  /// Key of a client account, on requests of callers; never passed on. Empty: not used.
  std::string api_key;
  /// Name of the client account, set by the node on requests to targets. Empty: not used.
  std::string account;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_HEADER_NAMES_H_
