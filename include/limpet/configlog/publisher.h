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

/// The change was accepted.
struct Published {
  std::string id;
  int64_t version = 0;
  wire::ConfigDelta delta;
};

/// The requested configuration is already in effect; nothing was appended.
struct NothingToPublish {
  int64_t version = 0;
};

/// Another change was accepted on the same base. This change has no effect and cannot take effect
/// later.
struct PublishConflict {
  /// Empty if nothing was appended because the base was already superseded.
  std::string id;
  int64_t base = 0;
  /// Its version is lower than `base` if the log has not reached version `base`.
  ConflictingChange conflicting_change;
};

/// The configuration is not valid. Nothing was appended, or the replay rejected the record.
struct InvalidChange {
  std::vector<std::string> problems;
};

/// The result of the append is unknown and the record could not be read back: the change may or may
/// not be in effect. Publishing the same file again is safe, because only one change is accepted on
/// each base.
struct UnknownResult {
  std::string id;
  LogStatus status = LogStatus::kUnknownOutcome;
};

/// The record exceeds the size limit of the log; nothing was appended.
struct ChangeTooLarge {
  std::size_t bytes = 0;
};

/// Nothing was appended, because the log was unavailable or refused the request.
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
  /// The whole configuration to publish; its version is the one that it is based on.
  wire::FullConfig config;
  std::string author;
  std::string comment;
};

/// Appends a change to the stream "config" and determines whether it was accepted. Performs no I/O
/// itself: the log and the function that pauses between attempts are passed in.
class Publisher {
 public:
  /// Maximum number of attempts to append the record, and of attempts for each read of the stream.
  static constexpr int kMaxAttempts = 4;
  /// Pause before the second attempt; it doubles for each further attempt.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(200);

  Publisher(LogAccess& log, Random random, std::function<void(Duration)> pause);

  PublishResult Publish(const PublishRequest& request);

 private:
  PublishResult AppendUntilDecided(const wire::ChangeRecord& record);
  /// Returns the outcome of a record according to the replay; monostate while it is undecided.
  std::variant<std::monostate, Published, PublishConflict, InvalidChange> FindOutcome(
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
