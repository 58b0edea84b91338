#ifndef LIMPET_SRC_LOAD_CALLER_CLIENT_H_
#define LIMPET_SRC_LOAD_CALLER_CLIENT_H_

#include <string>

#include "limpet/load/experiment.h"
#include "limpet/load/result.h"
#include "limpet/net/target_client.h"

namespace limpet::load {

/// Sends requests to one node over HTTP, as a caller would. Not safe for concurrent use.
class CallerClient {
 public:
  explicit CallerClient(HostPort node);

  /// Sends the request and waits for the response. Does not throw if the request fails: the
  /// observation holds the error. `latency` stays 0; the runner sets it.
  Observation Send(const Workload& workload, const std::string& request_id);

 private:
  TargetClient client_;
};

}  // namespace limpet::load

#endif  // LIMPET_SRC_LOAD_CALLER_CLIENT_H_
