#ifndef LIMPET_EDGE_CALLER_MEMORY_H_
#define LIMPET_EDGE_CALLER_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace limpet::edge {

struct CallerMemoryLimits {
  /// Memory that all connections of callers together may cause: received bytes, requests, bodies
  /// and responses that are not written yet.
  std::size_t total_bytes = std::size_t{256} << 20;
  /// Part of it that request bodies may take.
  std::size_t body_bytes = std::size_t{64} << 20;
  std::size_t connections = std::size_t{1} << 20;
};

/// Returns the limits of a process with this memory limit and this limit on open descriptors.
/// `descriptors_per_connection` is the largest number that one connection of a caller takes.
CallerMemoryLimits MakeCallerMemoryLimits(double memory_mb,
                                          std::size_t max_descriptors,
                                          std::size_t descriptors_per_connection);

/// What a connection of a caller does, as far as it decides which connections are closed first.
enum class CallerActivity {
  kIdle,     // no complete request header has been received since the last response
  kBusy,     // a request is being received or handled
  kWriting,  // a response is being written, or the connection lingers after its last response
};

/// Accounts for the memory and the connections of all callers of a process. Closes the connections
/// that have been writing or idle for the longest time when either is short. Not thread-safe.
class CallerMemory {
 public:
  class Account;
  /// Numbers of events since the start.
  struct Totals {
    int64_t closed_writing = 0;
    int64_t closed_idle = 0;
    int64_t refused_connections = 0;
    int64_t refused_requests = 0;
    bool operator==(const Totals&) const = default;
  };

  explicit CallerMemory(const CallerMemoryLimits& limits) : limits_(limits) {}

  /// True if less than an eighth of the memory is left. No data is read ahead then.
  bool IsShort() const;
  /// While the memory is short, closes connections other than `except`: first the one whose
  /// response has been waiting for the longest time, then the idle ones. Returns false if the
  /// memory is still short.
  bool MakeRoom(const Account* except);
  /// The same for a new connection, for which also the number of connections is bounded. Idle
  /// connections are closed first if it is reached. Returns false if the connection has to be
  /// refused.
  bool MakeRoomForConnection();
  bool HasRoomForBodies() const { return body_bytes_ <= limits_.body_bytes; }
  void CountRefusedRequest() { ++totals_.refused_requests; }

  std::size_t bytes() const { return bytes_; }
  std::size_t body_bytes() const { return body_bytes_; }
  std::size_t connections() const { return connections_; }
  const Totals& totals() const { return totals_; }

 private:
  using Accounts = std::list<Account*>;

  /// Closes the first connection of `accounts` other than `except`; false if there is none.
  static bool CloseOldest(Accounts& accounts, const Account* except, int64_t& closed);

  CallerMemoryLimits limits_;
  std::size_t bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t connections_ = 0;
  /// Connections in the order in which they began to be idle or to write.
  Accounts idle_;
  Accounts writing_;
  Totals totals_;
};

/// Memory and state of one connection. The memory is returned when the account is destroyed.
class CallerMemory::Account {
 public:
  /// `close` closes the connection and calls `Disconnect`. It is called only while the connection
  /// is idle or writing.
  Account(std::shared_ptr<CallerMemory> memory, std::function<void()> close);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  /// Sets the memory that this connection holds now. `bytes` includes `body_bytes`.
  void SetUse(std::size_t bytes, std::size_t body_bytes);
  void SetActivity(CallerActivity activity);
  /// The connection is closed. Its memory stays counted until `SetUse` or the destruction, because
  /// a handler may still hold its request.
  void Disconnect();

 private:
  friend class CallerMemory;

  void LeaveList();

  std::shared_ptr<CallerMemory> memory_;
  std::function<void()> close_;
  std::size_t bytes_ = 0;
  std::size_t body_bytes_ = 0;
  bool connected_ = true;
  /// List of `memory_` that contains this account, and the position in it; null while busy.
  Accounts* list_ = nullptr;
  Accounts::iterator position_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_CALLER_MEMORY_H_
