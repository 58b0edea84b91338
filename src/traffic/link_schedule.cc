#include "limpet/traffic/link_schedule.h"

#include <algorithm>

namespace limpet {

namespace {

/// Share of the link rate for the scheduled bytes. The rest is for the headers of the network
/// protocols and for acknowledgements.
constexpr double kUsableLinkShare = 0.93;
constexpr double kBitsPerByte = 8;
/// Timers fire up to a few milliseconds late. Up to this much unused link time is caught up in a
/// burst.
constexpr Duration kMaxBurst = std::chrono::milliseconds(10);
/// Chunks of transfers that can be on time for each chunk of a late one. A late response is
/// complete and has to be delivered, but at the full rate it would make the transfers behind it
/// late too.
constexpr int kOnTimeChunksPerLateChunk = 3;
constexpr double kMinLinkMbps = 0.1;

}  // namespace

LinkSchedule::LinkSchedule(double link_mbps)
    : bytes_per_us_(std::max(kMinLinkMbps, link_mbps) * kUsableLinkShare / kBitsPerByte) {}

int64_t LinkSchedule::Add(std::size_t bytes, TimePoint due) {
  const int64_t transfer = ++last_transfer_id_;
  transfers_.emplace(TransferKey{due, transfer}, bytes);
  due_.emplace(transfer, due);
  queued_bytes_ += bytes;
  return transfer;
}

void LinkSchedule::Remove(int64_t transfer) {
  const auto due = due_.find(transfer);
  if (due == due_.end()) {
    return;
  }
  const auto found = transfers_.find({due->second, transfer});
  queued_bytes_ -= found->second;
  transfers_.erase(found);
  due_.erase(due);
}

std::optional<int64_t> LinkSchedule::Next(TimePoint now) {
  idle_at_ = std::max(idle_at_, now - kMaxBurst);
  if (transfers_.empty() || idle_at_ > now) {
    return std::nullopt;
  }
  const auto on_time = transfers_.lower_bound({now, 0});
  const bool late_pending = on_time != transfers_.begin();
  const bool late_is_next = late_pending && chunks_since_late_ >= kOnTimeChunksPerLateChunk;
  const auto next = on_time == transfers_.end() || late_is_next ? transfers_.begin() : on_time;
  chunks_since_late_ = late_pending && next == on_time ? chunks_since_late_ + 1 : 0;
  return next->first.second;
}

bool LinkSchedule::OnChunkSent(TimePoint now, int64_t transfer, std::size_t bytes) {
  OnSent(now, bytes);
  const auto due = due_.find(transfer);
  if (due == due_.end()) {
    return false;
  }
  std::size_t& remaining = transfers_.at({due->second, transfer});
  if (bytes >= remaining) {
    Remove(transfer);
    return false;
  }
  remaining -= bytes;
  queued_bytes_ -= bytes;
  return true;
}

void LinkSchedule::OnSent(TimePoint now, std::size_t bytes) {
  idle_at_ = std::max(idle_at_, now - kMaxBurst) + TransmissionTime(bytes);
}

Duration LinkSchedule::TransmissionTime(std::size_t bytes) const {
  return Duration(static_cast<int64_t>(static_cast<double>(bytes) / bytes_per_us_));
}

}  // namespace limpet
