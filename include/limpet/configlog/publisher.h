#ifndef LIMPET_CONFIGLOG_PUBLISHER_H_
#define LIMPET_CONFIGLOG_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "limpet/configlog/log_access.h"
#include "limpet/configlog/log_reader.h"
#include "limpet/configlog/log_replay.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// The change is accepted.
struct Published {
  std::string id;
  int64_t version = 0;
  wire::ConfigDelta delta;
};

/// The wanted configuration is already in effect; nothing was appended.
struct NothingToPublish {
  int64_t version = 0;
};

/// Another change was accepted on the same base. This change is not and never will be in effect.
struct PublishConflict {
  /// Empty if nothing was appended, because the base was already superseded.
  std::string id;
  int64_t base = 0;
  /// Its version is below `base` if this log never reached the base.
  ConflictingChange conflicting_change;
};

/// The configuration is not valid as a whole; nothing was appended.
struct InvalidChange {
  std::vector<std::string> problems;
};

/// The answer was lost and reading back failed as well: the change may or may not be in effect.
/// Publishing the same file again is safe, because the base then decides.
struct UnknownResult {
  std::string id;
  LogStatus status = LogStatus::kUnknownOutcome;
};

/// The record exceeds the size limit of the log; nothing was appended.
struct ChangeTooLarge {
  std::size_t bytes = 0;
};

/// Nothing was appended, because the log did not answer or refused.
struct LogUnavailable {
  LogStatus status = LogStatus::kUnavailable;
};

using PublishResult = std::variant<Published,
                                   NothingToPublish,
                                   PublishConflict,
                                   InvalidChange,
                                   UnknownResult,
                                   ChangeTooLarge,
                                   LogUnavailable>;

struct PublishRequest {
  /// The whole wanted configuration; its version is the one it was edited from.
  wire::FullConfig config;
  std::string author;
  std::string comment;
};

/// Appends a change to the stream "config" and finds out what became of it. Free of I/O: the log
/// and the pause between attempts are passed in.
class Publisher {
 public:
  /// Attempts to append, and to read back after a lost answer.
  static constexpr int kMaxAttempts = 4;
  /// Before the second attempt; doubles for each further one.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(200);

  Publisher(LogAccess& log, Random random, std::function<void(Duration)> pause);

  PublishResult Publish(const PublishRequest& request);

 private:
  PublishResult AppendUntilDecided(const wire::ChangeRecord& record);
  /// The fate of a record according to the replay; monostate while it is open.
  std::variant<std::monostate, Published, PublishConflict, InvalidChange> Fate(
      const wire::ChangeRecord& record) const;
  LogStatus CatchUpWithRetries();
  void Pause(int attempt);

  LogAccess& log_;
  LogReader reader_;
  Random random_;
  std::function<void(Duration)> pause_;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_PUBLISHER_H_
