#include "limpet/configlog/log_replay.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "limpet/config/config.h"
#include "limpet/core/fault.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

template <typename T>
void AppendBounded(std::deque<T>& entries, T value, std::size_t max_size) {
  entries.push_back(std::move(value));
  if (entries.size() > max_size) {
    entries.pop_front();
  }
}

}  // namespace

ReplayGapError::ReplayGapError(int64_t expected, int64_t found)
    : Error("replay expects offset " + std::to_string(expected) + " but the record has offset " +
            std::to_string(found)) {}

LogReplay::LogReplay() : LogReplay(wire::FullConfig()) {}

LogReplay::LogReplay(const wire::FullConfig& config)
    : LogReplay(std::make_shared<const ConfigSnapshot>(config), config.next_offset) {}

LogReplay::LogReplay(ConfigSnapshotPtr snapshot, int64_t next_offset)
    : snapshot_(std::move(snapshot)),
      next_offset_(std::max(next_offset, snapshot_->version() + 1)) {}

ReplayResult LogReplay::Apply(const LogRecord& record) {
  if (record.offset < next_offset_) {
    return std::monostate();
  }
  if (record.offset > next_offset_) {
    throw ReplayGapError(next_offset_, record.offset);
  }
  ReplayResult result = EvaluateRecord(record);
  next_offset_ = record.offset + 1;
  return result;
}

ReplayResult LogReplay::EvaluateRecord(const LogRecord& record) {
  wire::AcceptedChange change;
  change.version = record.offset;
  try {
    wire::Decode(record.payload, change.record);
  } catch (const DecodeError& error) {
    return Reject({record.offset, "", RejectReason::kMalformed, error.what(), {}});
  }
  const std::string& id = change.record.id;
  if (change.record.base != version() && !IsFaultActive(Fault::kSkipBaseCheck)) {
    ConflictingChange conflicting_change = ConflictingChangeOn(change.record.base);
    std::string detail = "base " + std::to_string(change.record.base) +
                         " is not the current version " + std::to_string(version()) +
                         "; superseded by version " + std::to_string(conflicting_change.version);
    return Reject({record.offset, id, RejectReason::kStaleBase, std::move(detail),
                   std::move(conflicting_change)});
  }
  try {
    snapshot_ = ApplyChange(*snapshot_, change);
  } catch (const ValidationError& error) {
    return Reject({record.offset, id, RejectReason::kInvalid, error.what(), {}});
  }
  AppendBounded(accepted_, change, kMaxAccepted);
  return change;
}

Rejection LogReplay::Reject(Rejection rejection) {
  AppendBounded(rejections_, rejection, kMaxRejections);
  return rejection;
}

ConflictingChange LogReplay::ConflictingChangeOn(int64_t base) const {
  for (const wire::AcceptedChange& change : accepted_) {
    if (change.record.base == base) {
      return {change.version, change.record.id, change.record.author};
    }
  }
  return {version(), "", ""};
}

wire::FullConfig LogReplay::FullConfig() const {
  wire::FullConfig config = snapshot_->config();
  config.next_offset = next_offset_;
  return config;
}

const Rejection* LogReplay::FindRejection(const std::string& id) const {
  const auto it = std::find_if(rejections_.rbegin(), rejections_.rend(),
                               [&](const Rejection& entry) { return entry.id == id; });
  return it == rejections_.rend() ? nullptr : &*it;
}

const wire::AcceptedChange* LogReplay::FindAccepted(const std::string& id) const {
  const auto it =
      std::find_if(accepted_.rbegin(), accepted_.rend(),
                   [&](const wire::AcceptedChange& entry) { return entry.record.id == id; });
  return it == accepted_.rend() ? nullptr : &*it;
}

ConfigSnapshotPtr ApplyChange(const ConfigSnapshot& base, const wire::AcceptedChange& change) {
  const auto build = [&](const wire::ConfigDelta& delta) {
    wire::FullConfig config = ApplyDelta(base.config(), delta);
    config.version = change.version;
    config.next_offset = change.version + 1;
    return std::make_shared<const ConfigSnapshot>(std::move(config));
  };
  try {
    return build(change.record.delta);
  } catch (const ValidationError&) {
    if (!IsFaultActive(Fault::kSwapBeforeValidate)) {
      throw;
    }
    // Simulates a node that applies a change before it validates the result: only the services and
    // rules take effect.
    wire::ConfigDelta partial_delta;
    partial_delta.set_services = change.record.delta.set_services;
    partial_delta.set_rules = change.record.delta.set_rules;
    return build(partial_delta);
  }
}

}  // namespace limpet
