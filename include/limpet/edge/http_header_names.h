#ifndef LIMPET_EDGE_HTTP_HEADER_NAMES_H_
#define LIMPET_EDGE_HTTP_HEADER_NAMES_H_

#include <string>

namespace limpet::edge {

/// Names of the headers that callers, nodes and targets of one deployment exchange.
struct HttpHeaderNames {
  /// Id of one request, chosen by the caller and echoed by the target.
  std::string request_id = "X-Request-Id";
  /// Milliseconds until the sender gives up.
  std::string deadline_ms = "X-Limpet-Deadline-Ms";
  /// Instance that the request is meant for; any other refuses it.
  std::string expected_instance = "X-Limpet-Expected-Instance";
  /// Names the target's instance on responses of its health endpoint.
  std::string instance = "X-Limpet-Instance";
  /// Present on a response if the target did not run the request.
  std::string not_executed = "X-Limpet-Target-Not-Run";
  /// Present on every response that a target made. Empty: responses carry no such proof.
  std::string response_signature;
  /// Service on the VM where the request originated.
  std::string caller_service = "X-Limpet-Caller-Service";
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_HEADER_NAMES_H_
