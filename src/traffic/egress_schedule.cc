#include "limpet/traffic/egress_schedule.h"

#include <algorithm>

namespace limpet {

namespace {

/// The rest is for headers of the network's protocols and for acknowledgements.
constexpr double kUsableShare = 0.93;
constexpr double kBitsPerByte = 8;
/// Timers fire late by up to a few milliseconds; what they miss is sent in one go.
constexpr Duration kBurst = std::chrono::milliseconds(10);
/// Parts of bodies that can be on time for one part of a late one. The answer of a late one is
/// ready and has to arrive, but at the full rate it would make those behind it late too.
constexpr int kOnTimeChunks = 3;
constexpr double kMinLinkMbps = 0.1;

}  // namespace

EgressSchedule::EgressSchedule(double link_mbps)
    : bytes_per_us_(std::max(kMinLinkMbps, link_mbps) * kUsableShare / kBitsPerByte) {}

int64_t EgressSchedule::Add(std::size_t bytes, TimePoint due) {
  const int64_t transfer = ++last_transfer_;
  transfers_.emplace(Position{due, transfer}, bytes);
  due_.emplace(transfer, due);
  queued_bytes_ += bytes;
  return transfer;
}

void EgressSchedule::Remove(int64_t transfer) {
  const auto due = due_.find(transfer);
  if (due == due_.end()) {
    return;
  }
  const auto found = transfers_.find({due->second, transfer});
  queued_bytes_ -= found->second;
  transfers_.erase(found);
  due_.erase(due);
}

std::optional<int64_t> EgressSchedule::Next(TimePoint now) {
  idle_at_ = std::max(idle_at_, now - kBurst);
  if (transfers_.empty() || idle_at_ > now) {
    return std::nullopt;
  }
  const auto on_time = transfers_.lower_bound({now, 0});
  const bool late_wait = on_time != transfers_.begin();
  const bool late_turn = late_wait && chunks_since_late_ >= kOnTimeChunks;
  const auto next = on_time == transfers_.end() || late_turn ? transfers_.begin() : on_time;
  chunks_since_late_ = late_wait && next == on_time ? chunks_since_late_ + 1 : 0;
  return next->first.second;
}

bool EgressSchedule::OnChunkSent(TimePoint now, int64_t transfer, std::size_t bytes) {
  OnSent(now, bytes);
  const auto due = due_.find(transfer);
  if (due == due_.end()) {
    return false;
  }
  std::size_t& left = transfers_.at({due->second, transfer});
  if (bytes >= left) {
    Remove(transfer);
    return false;
  }
  left -= bytes;
  queued_bytes_ -= bytes;
  return true;
}

void EgressSchedule::OnSent(TimePoint now, std::size_t bytes) {
  idle_at_ = std::max(idle_at_, now - kBurst) + TransmissionTime(bytes);
}

Duration EgressSchedule::TransmissionTime(std::size_t bytes) const {
  return Duration(static_cast<int64_t>(static_cast<double>(bytes) / bytes_per_us_));
}

}  // namespace limpet
