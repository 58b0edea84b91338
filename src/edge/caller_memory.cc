#include "limpet/edge/caller_memory.h"

#include <algorithm>
#include <utility>

#include "limpet/core/fault.h"

namespace limpet::edge {

namespace {

constexpr double kBytesPerMegabyte = 1e6;
/// Share of the process's memory for callers. The rest is for the program itself, calls of other
/// nodes, copies of bodies on the way to targets, and what the allocator cannot return.
constexpr double kCallerMemoryShare = 0.4;
/// Share of the process's memory for request bodies of callers.
constexpr double kBodyMemoryShare = 0.25;
/// One part of this many stays free for the responses to requests that were accepted.
constexpr std::size_t kHeadroomDivisor = 8;
/// Descriptors for links, targets, the store and files, if the limit allows. A mesh of 200 nodes
/// takes about 400 for links and 130 for the target.
constexpr std::size_t kReservedDescriptors = 768;

}  // namespace

CallerMemoryLimits MakeCallerMemoryLimits(double memory_mb,
                                          std::size_t max_descriptors,
                                          std::size_t descriptors_per_connection) {
  const double bytes = memory_mb * kBytesPerMegabyte;
  const std::size_t reserved = std::min(kReservedDescriptors, max_descriptors / 2);
  return {static_cast<std::size_t>(bytes * kCallerMemoryShare),
          static_cast<std::size_t>(bytes * kBodyMemoryShare),
          std::max<std::size_t>(1, (max_descriptors - reserved) / descriptors_per_connection)};
}

bool CallerMemory::IsShort() const {
  if (IsFaultActive(Fault::kSkipCallerMemory)) {
    return false;
  }
  return bytes_ > limits_.total_bytes - limits_.total_bytes / kHeadroomDivisor;
}

bool CallerMemory::MakeRoom(const Account* except) {
  while (IsShort()) {
    if (!CloseOldest(writing_, except, totals_.closed_writing) &&
        !CloseOldest(idle_, except, totals_.closed_idle)) {
      return false;
    }
  }
  return true;
}

bool CallerMemory::MakeRoomForConnection() {
  bool has_room = MakeRoom(nullptr);
  while (has_room && connections_ >= limits_.connections) {
    has_room = CloseOldest(idle_, nullptr, totals_.closed_idle) ||
               CloseOldest(writing_, nullptr, totals_.closed_writing);
  }
  totals_.refused_connections += has_room ? 0 : 1;
  return has_room;
}

bool CallerMemory::CloseOldest(Accounts& accounts, const Account* except, int64_t& closed) {
  const auto oldest =
      std::ranges::find_if(accounts, [except](const Account* a) { return a != except; });
  if (oldest == accounts.end()) {
    return false;
  }
  ++closed;
  (*oldest)->close_();
  return true;
}

CallerMemory::Account::Account(std::shared_ptr<CallerMemory> memory, std::function<void()> close)
    : memory_(std::move(memory)), close_(std::move(close)) {
  ++memory_->connections_;
  SetActivity(CallerActivity::kIdle);
}

CallerMemory::Account::~Account() {
  Disconnect();
  SetUse(0, 0);
}

void CallerMemory::Account::SetUse(std::size_t bytes, std::size_t body_bytes) {
  memory_->bytes_ += bytes - bytes_;
  memory_->body_bytes_ += body_bytes - body_bytes_;
  bytes_ = bytes;
  body_bytes_ = body_bytes;
}

void CallerMemory::Account::SetActivity(CallerActivity activity) {
  LeaveList();
  if (!connected_ || activity == CallerActivity::kBusy) {
    return;
  }
  list_ = activity == CallerActivity::kIdle ? &memory_->idle_ : &memory_->writing_;
  position_ = list_->insert(list_->end(), this);
}

void CallerMemory::Account::Disconnect() {
  if (connected_) {
    connected_ = false;
    --memory_->connections_;
    LeaveList();
  }
}

void CallerMemory::Account::LeaveList() {
  if (list_ != nullptr) {
    list_->erase(position_);
    list_ = nullptr;
  }
}

}  // namespace limpet::edge
