#ifndef LIMPET_NET_LOG_CLIENT_H_
#define LIMPET_NET_LOG_CLIENT_H_

#include <memory>

#include "limpet/configlog/log_access.h"
#include "limpet/core/time.h"

namespace limpet {

/// Client of the platform's log over HTTP and JSON. Blocks for at most about `timeout` per network
/// operation. Never throws: every failure, including a malformed response, is reported as a
/// `LogStatus`. Not safe for concurrent use.
///
///     POST /streams/NAME/records  {"payload": BASE64}  ->  {"offset": N}
///     GET  /streams/NAME/records?from=N&max=M
///         ->  {"first_offset": N, "end_offset": N, "records": [{"offset": N, "payload": BASE64}]}
///
/// With status 410 (offset expired), 413 (too large), 429 (throttled) and 503 (unavailable) the log
/// refuses a request without executing it. A read may return fewer records than requested.
class LogClient : public LogAccess {
 public:
  LogClient(PeerAddress address, Duration timeout);
  ~LogClient() override;

  LogResult Append(const LogAppend& request) override;
  LogResult Read(const LogRead& request) override;
  LogResult Execute(const LogRequest& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_NET_LOG_CLIENT_H_
