#ifndef LIMPET_TESTS_RESPONSES_BROKEN_TARGET_H_
#define LIMPET_TESTS_RESPONSES_BROKEN_TARGET_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/loopback.h"

namespace limpet {

/// What a target does with one request.
struct TargetScript {
  enum class End { kKeep, kClose, kReset };

  /// Bytes to send. "{id}" is replaced by the id of the request.
  std::string bytes;
  End end = End::kClose;
  /// Bytes of the request body that are read before `bytes` are sent.
  std::size_t body_bytes_read = std::numeric_limits<std::size_t>::max();
  /// Time between sending `bytes` and closing or resetting the connection.
  std::chrono::milliseconds delay{0};
};

/// HTTP server on raw sockets, with one thread per connection. Health checks succeed. Requests
/// whose path ends in "/broken" get the script, all others a valid 200 with the body "whole".
class BrokenTarget {
 public:
  BrokenTarget();
  ~BrokenTarget();
  BrokenTarget(const BrokenTarget&) = delete;
  BrokenTarget& operator=(const BrokenTarget&) = delete;

  int port() const { return listener_.port(); }
  void SetScript(TargetScript script);
  /// Number of requests that got the script.
  int scripted_requests() const { return scripted_requests_; }

 private:
  void Accept();
  void Serve(int fd);
  /// Returns false if the connection is to be closed.
  bool ServeRequest(int fd, std::string& received);

  LoopbackListener listener_{64};
  std::mutex mutex_;
  TargetScript script_;
  std::atomic<int> scripted_requests_{0};
  std::vector<int> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_RESPONSES_BROKEN_TARGET_H_
