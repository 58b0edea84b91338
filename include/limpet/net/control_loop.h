#ifndef LIMPET_NET_CONTROL_LOOP_H_
#define LIMPET_NET_CONTROL_LOOP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "limpet/control/control_plane.h"
#include "limpet/net/bounded_queue.h"
#include "limpet/net/datagram_socket.h"
#include "limpet/net/log_client.h"
#include "limpet/net/peer_client.h"

namespace limpet {

struct ControlLoopOptions {
  ControlOptions control;
  uint64_t seed = 0;
  Duration tick = std::chrono::milliseconds(50);
  Duration peer_timeout = std::chrono::seconds(1);
  /// Used only if `control.log_configured`.
  PeerAddress log;
  Duration log_timeout = std::chrono::seconds(2);
};

/// State last published by the control thread.
struct ControlState {
  ConfigSnapshotPtr snapshot;
  EndpointViewPtr endpoints;
  bool ready = false;
  int64_t incarnation = 0;
};

/// Runs the `ControlPlane` on one thread, which passes it ticks, datagrams, messages and log
/// results. Two other threads send the requests to the log and the messages that are too large for
/// a datagram, so that a slow log or peer never delays a tick.
class ControlLoop {
 public:
  using StateListener = std::function<void(const ControlState&)>;

  /// `listener` is called on the control thread after each change of the published state. Throws
  /// `ListenError` if the UDP port cannot be bound.
  ControlLoop(ControlLoopOptions options,
              Counters& counters,
              PeerClient& peers,
              StateListener listener);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();
  void Stop();

  /// The following functions may be called from any thread.
  void Deliver(const wire::Envelope& envelope);
  void SetTargetState(wire::TargetState::type state);
  void Leave();
  ControlState state() const;
  /// Returns a copy of the membership table, made on the control thread. Returns an empty list if
  /// the control thread does not respond within 2 s.
  std::vector<wire::MemberRecord> Members();

 private:
  /// Input to the control plane that runs on the control thread.
  using Step = std::function<ControlOutput(ControlPlane&, TimePoint)>;

  void Post(Step step);
  void Run();
  void WaitForInput(TimePoint next_tick);
  void ReceiveDatagrams();
  void Execute(ControlOutput output);
  void SendMessage(OutgoingMessage message);
  void Publish();
  void RunLog();
  void RunSender();
  void Wake();

  const ControlLoopOptions options_;
  Counters& counters_;
  PeerClient& peers_;
  StateListener listener_;
  DatagramSocket socket_;
  int wake_fd_;
  ControlPlane plane_;
  BoundedQueue<Step> steps_;
  BoundedQueue<LogRequest> log_requests_;
  BoundedQueue<OutgoingMessage> large_messages_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  ControlState state_;
  std::thread control_thread_;
  std::thread log_thread_;
  std::thread sender_thread_;
};

}  // namespace limpet

#endif  // LIMPET_NET_CONTROL_LOOP_H_
