#include "limpet/net/control_loop.h"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <future>
#include <utility>

#include "limpet/net/clock.h"
#include "limpet/wire/codec.h"

namespace limpet {

namespace {

/// Limits memory use when the control thread falls behind. Membership sends lost messages again.
constexpr size_t kStepCapacity = 4096;
constexpr size_t kLogRequestCapacity = 256;
constexpr size_t kLargeMessageCapacity = 256;
/// Maximum number of datagrams received before the loop checks again whether a tick is due.
constexpr int kMaxDatagramsPerRound = 64;
constexpr std::chrono::seconds kMembersTimeout{2};

uint64_t GetRequestId(const LogRequest& request) {
  return std::visit([](const auto& value) { return value.request; }, request);
}

}  // namespace

ControlLoop::ControlLoop(ControlLoopOptions options,
                         Counters& counters,
                         PeerClient& peers,
                         StateListener listener)
    : options_(std::move(options)),
      counters_(counters),
      peers_(peers),
      listener_(std::move(listener)),
      socket_(options_.control.host, options_.control.port),
      wake_fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      plane_(options_.control, Random(options_.seed), counters),
      steps_(kStepCapacity),
      log_requests_(kLogRequestCapacity),
      large_messages_(kLargeMessageCapacity) {
  state_ = {plane_.snapshot(), plane_.endpoints(), plane_.IsReady(), plane_.incarnation()};
}

ControlLoop::~ControlLoop() {
  Stop();
  ::close(wake_fd_);
}

void ControlLoop::Start() {
  log_thread_ = std::thread([this] { RunLog(); });
  sender_thread_ = std::thread([this] { RunSender(); });
  control_thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop() {
  if (!control_thread_.joinable()) {
    return;
  }
  stopping_ = true;
  Wake();
  control_thread_.join();
  steps_.Close();
  log_requests_.Close();
  large_messages_.Close();
  log_thread_.join();
  sender_thread_.join();
}

void ControlLoop::Deliver(const wire::Envelope& envelope) {
  Post([envelope](ControlPlane& plane, TimePoint now) { return plane.OnMessage(now, envelope); });
}

void ControlLoop::SetTargetState(wire::TargetState::type state) {
  Post([state](ControlPlane& plane, TimePoint now) { return plane.SetTargetState(now, state); });
}

void ControlLoop::Leave() {
  Post([](ControlPlane& plane, TimePoint now) { return plane.Leave(now); });
}

ControlState ControlLoop::state() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

std::vector<wire::MemberRecord> ControlLoop::Members() {
  const auto promise = std::make_shared<std::promise<std::vector<wire::MemberRecord>>>();
  auto future = promise->get_future();
  Post([promise](ControlPlane& plane, TimePoint /*now*/) {
    promise->set_value(plane.Members());
    return ControlOutput();
  });
  return future.wait_for(kMembersTimeout) == std::future_status::ready
             ? future.get()
             : std::vector<wire::MemberRecord>();
}

void ControlLoop::Post(Step step) {
  if (!steps_.Push(std::move(step))) {
    counters_.Get("control_steps_dropped").Add();
  }
  Wake();
}

void ControlLoop::Wake() {
  const uint64_t one = 1;
  // The write fails only if the event counter is at its maximum; the thread wakes up then anyway.
  [[maybe_unused]] const ssize_t written = ::write(wake_fd_, &one, sizeof one);
}

void ControlLoop::Run() {
  Execute(plane_.Start(MonotonicNow()));
  TimePoint next_tick = MonotonicNow();
  while (!stopping_) {
    WaitForInput(next_tick);
    ReceiveDatagrams();
    while (auto step = steps_.TryPop()) {
      Execute((*step)(plane_, MonotonicNow()));
    }
    const TimePoint now = MonotonicNow();
    if (now >= next_tick) {
      Execute(plane_.Tick(now));
      peers_.CloseIdle(now);
      // Missed ticks, e.g. while the VM was paused, are skipped.
      next_tick = std::max(next_tick + options_.tick, now);
    }
    Publish();
  }
}

void ControlLoop::WaitForInput(TimePoint next_tick) {
  std::array<pollfd, 2> entries = {{{socket_.fd(), POLLIN, 0}, {wake_fd_, POLLIN, 0}}};
  const int64_t micros = std::max<int64_t>(0, (next_tick - MonotonicNow()).count());
  ::poll(entries.data(), entries.size(), static_cast<int>((micros + 999) / 1000));
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = ::read(wake_fd_, &count, sizeof count);
}

void ControlLoop::ReceiveDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerRound; ++i) {
    const auto bytes = socket_.Receive();
    if (!bytes) {
      return;
    }
    counters_.Get("control_bytes_received").Add(static_cast<int64_t>(bytes->size()));
    try {
      wire::Envelope envelope;
      wire::Decode(*bytes, envelope);
      Execute(plane_.OnMessage(MonotonicNow(), envelope));
    } catch (const DecodeError& error) {
      counters_.Get("control_datagrams_malformed").Add();
      spdlog::debug("[control] malformed datagram dropped: {}", error.what());
    }
  }
}

void ControlLoop::Execute(ControlOutput output) {
  for (auto& message : output.messages) {
    SendMessage(std::move(message));
  }
  for (auto& request : output.log_requests) {
    const uint64_t request_id = GetRequestId(request);
    if (!log_requests_.Push(std::move(request))) {
      LogResult result;
      result.request = request_id;
      result.status = LogStatus::kUnavailable;
      Post([result](ControlPlane& plane, TimePoint now) { return plane.OnLogResult(now, result); });
    }
  }
}

void ControlLoop::SendMessage(OutgoingMessage message) {
  const std::string bytes = wire::Encode(message.envelope);
  counters_.Get("control_bytes_sent").Add(static_cast<int64_t>(bytes.size()));
  counters_.Get("control_messages_sent").Add();
  if (bytes.size() <= kMaxDatagramBytes) {
    if (!socket_.Send(message.to, bytes)) {
      counters_.Get("control_sends_failed").Add();
    }
  } else if (!large_messages_.Push(std::move(message))) {
    counters_.Get("control_messages_dropped").Add();
  }
}

void ControlLoop::Publish() {
  ControlState next{plane_.snapshot(), plane_.endpoints(), plane_.IsReady(), plane_.incarnation()};
  {
    const std::lock_guard lock(mutex_);
    if (next.snapshot == state_.snapshot && next.endpoints == state_.endpoints &&
        next.ready == state_.ready && next.incarnation == state_.incarnation) {
      return;
    }
    if (next.snapshot != state_.snapshot) {
      spdlog::info("[control] version {} in effect", next.snapshot->version());
    }
    if (next.ready && !state_.ready) {
      spdlog::info("[control] ready at version {}", next.snapshot->version());
    }
    state_ = next;
  }
  if (counters_.Get("config_version").value() != next.snapshot->version()) {
    counters_.Get("config_version").Set(next.snapshot->version());
    // Read only by measurements; no decision depends on the wall clock.
    counters_.Get("config_applied_unix_us")
        .Set(std::chrono::duration_cast<std::chrono::microseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count());
  }
  counters_.Get("ready").Set(next.ready ? 1 : 0);
  listener_(next);
}

void ControlLoop::RunLog() {
  LogClient client(options_.log, options_.log_timeout);
  bool log_available = true;
  while (auto request = log_requests_.Pop()) {
    if (stopping_) {
      continue;
    }
    const LogResult result = client.Execute(*request);
    if ((result.status == LogStatus::kOk) != log_available) {
      log_available = !log_available;
      spdlog::warn("[log] {}", log_available ? "requests succeed again" : "requests fail");
    }
    if (result.status != LogStatus::kOk) {
      counters_.Get("log_requests_failed").Add();
    }
    counters_.Get("log_requests").Add();
    Post([result](ControlPlane& plane, TimePoint now) { return plane.OnLogResult(now, result); });
  }
}

void ControlLoop::RunSender() {
  while (auto message = large_messages_.Pop()) {
    if (stopping_) {
      continue;
    }
    try {
      peers_.Deliver(message->to, message->envelope, options_.peer_timeout);
    } catch (const PeerError& error) {
      counters_.Get("control_sends_failed").Add();
      spdlog::debug("[control] sending a message to {}:{} failed: {}", message->to.host,
                    message->to.port, error.what());
    }
  }
}

}  // namespace limpet
