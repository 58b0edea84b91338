#ifndef LIMPET_SRC_EDGE_ACTIVE_CALL_H_
#define LIMPET_SRC_EDGE_ACTIVE_CALL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "limpet/edge/outbound_proxy.h"
#include "limpet/traffic/mesh_call.h"

namespace limpet::edge {

/// One pending request of a caller: sends the attempts that its `MeshCall` decides on, and responds
/// to the caller.
class OutboundProxy::ActiveCall : public std::enable_shared_from_this<ActiveCall> {
 public:
  ActiveCall(OutboundProxy& proxy,
             HttpSessionPtr session,
             const MeshRoute& route,
             MeshCallOptions options,
             std::function<void()> on_not_run);

  /// Takes the request from the session and sends the first attempt.
  void Start();
  /// Ends attempts that wait in queues. The call ends with the promise that it has not run once all
  /// of them are confirmed.
  void Withdraw();
  /// Responds now, without a promise unless no attempt is open.
  void EndWithNode() { Apply(call_.OnNodeEnds(), {}, {}); }
  Duration typical_service_time() const { return call_.options().typical_service_time; }

 private:
  class LocalReplySink;
  struct Attempt {
    std::string node;
    TimePoint started{};
    /// Id of a call over a link; 0 for a call to the local target.
    int64_t link_call = 0;
    std::string local_key;
  };

  /// Performs a step of `call_`. `reply` and `body` are those that led to it; empty if there are
  /// none.
  void Apply(CallStep step, wire::LinkReply reply, std::string body);
  wire::LinkCall MakeLinkCall(const PlacedTarget& target, TimePoint now) const;
  void Send(const AttemptToSend& send, std::optional<Duration> hedge_delay);
  void OnReply(int id, wire::LinkReply reply, std::string body);
  void OnFailure(int id, LinkFailure failure);
  /// Ends all open attempts.
  void CancelAttempts();
  void OnCallerDisconnected();
  void Finish(const CallCompletion& finish, wire::LinkReply reply, std::string body);
  /// A stopping node accepts the request again only if enough time is left then.
  Duration RetryAfter(Duration suggested) const;
  /// Returns the response of the target, unless its status would promise that nothing ran.
  HttpResponse MakeResponse(wire::LinkReply reply, std::string body) const;
  void Log(const CallCompletion& finish, int status) const;
  /// Removes the call from the proxy, which may destroy it.
  void End();

  OutboundProxy& proxy_;
  HttpSessionPtr session_;
  std::string route_;
  TimePoint started_;
  MeshCall call_;
  /// Returns the token of the account; empty if the request has none.
  std::function<void()> on_not_run_;
  Timer deadline_timer_;
  Timer hedge_timer_;
  std::string method_;
  std::string path_;
  std::string request_id_;
  HttpHeaders headers_;
  SharedBody body_;
  std::map<int, Attempt> attempts_;
  std::string last_node_;
  bool withdrawn_ = false;
  bool finished_ = false;
  wire::LinkReply saved_reply_;
  std::string saved_body_;
};

}  // namespace limpet::edge

#endif  // LIMPET_SRC_EDGE_ACTIVE_CALL_H_
