#include "standin/log.h"

#include <algorithm>
#include <chrono>

namespace limpet {

LogResult StandinLog::Append(TimePoint now, const LogAppend& request) {
  LogResult result;
  result.request = request.request;
  if (faults.outage) {
    result.status = LogStatus::kUnavailable;
    return result;
  }
  if (limits_.max_record_bytes > 0 &&
      static_cast<int64_t>(request.payload.size()) > limits_.max_record_bytes) {
    result.status = LogStatus::kTooLarge;
    return result;
  }
  if (!TrySpendToken(now)) {
    result.status = LogStatus::kThrottled;
    return result;
  }
  ++counts_.appends;
  counts_.append_bytes += static_cast<int64_t>(request.payload.size());
  Stream& stream = streams_[request.stream];
  stream.payloads.push_back(request.payload);
  result.offset = stream.first_offset + static_cast<int64_t>(stream.payloads.size()) - 1;
  while (limits_.max_records > 0 &&
         static_cast<int64_t>(stream.payloads.size()) > limits_.max_records) {
    stream.payloads.pop_front();
    ++stream.first_offset;
  }
  return result;
}

LogResult StandinLog::Read(const LogRead& request) {
  LogResult result;
  result.request = request.request;
  if (faults.outage) {
    result.status = LogStatus::kUnavailable;
    return result;
  }
  ++counts_.reads;
  const Stream& stream = streams_[request.stream];
  result.first_offset = stream.first_offset;
  result.end_offset = stream.first_offset + static_cast<int64_t>(stream.payloads.size());
  if (request.from < stream.first_offset) {
    result.status = LogStatus::kOffsetExpired;
    return result;
  }
  const auto record_limit =
      static_cast<std::size_t>(std::clamp(request.max_records, 0, kMaxReadRecords));
  std::size_t bytes = 0;
  for (int64_t offset = request.from;
       offset < result.end_offset && bytes < kMaxReadBytes && result.records.size() < record_limit;
       ++offset) {
    const std::string& payload =
        stream.payloads[static_cast<std::size_t>(offset - stream.first_offset)];
    result.records.push_back({offset, payload});
    bytes += payload.size();
  }
  counts_.read_bytes += static_cast<int64_t>(bytes);
  return result;
}

bool StandinLog::ConsumeLostResponse() {
  if (faults.lose_responses == 0) {
    return false;
  }
  faults.lose_responses -= faults.lose_responses > 0 ? 1 : 0;
  return true;
}

bool StandinLog::TrySpendToken(TimePoint now) {
  if (limits_.appends_per_second <= 0) {
    return true;
  }
  const double capacity = std::max(1.0, limits_.appends_per_second);
  const double elapsed = std::chrono::duration<double>(now - last_refill_).count();
  tokens_ =
      tokens_ < 0 ? capacity : std::min(capacity, tokens_ + elapsed * limits_.appends_per_second);
  last_refill_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace limpet
