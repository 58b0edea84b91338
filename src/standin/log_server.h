#ifndef LIMPET_SRC_STANDIN_LOG_SERVER_H_
#define LIMPET_SRC_STANDIN_LOG_SERVER_H_

#include <memory>
#include <string>

#include "standin/log.h"

namespace limpet {

/// HTTP server of a `StandinLog`. Speaks the protocol of `LogClient` and in addition
///
///     POST /faults  {"outage": BOOL, "delay_ms": N, "lose_answers": N}   each key optional
///     GET  /stats   ->  {"appends": N, "append_bytes": N, "reads": N, "read_bytes": N}
class StandinLogServer {
 public:
  /// Throws an exception derived from `std::exception` if it cannot listen on the port.
  StandinLogServer(const std::string& host, int port, StandinLogLimits limits);
  ~StandinLogServer();

  /// Serves requests until `Stop` is called.
  void Run();
  /// May be called from another thread.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_STANDIN_LOG_SERVER_H_
