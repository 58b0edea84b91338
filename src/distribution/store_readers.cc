#include "limpet/distribution/store_readers.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace limpet {

StoreReaders::StoreReaders(StoreReadersOptions options, std::string self, int self_link_mbps)
    : options_(options), self_(std::move(self)), self_link_mbps_(self_link_mbps) {}

void StoreReaders::OnNodeReport(TimePoint now,
                                const std::string& node,
                                int link_mbps,
                                bool store_unreachable) {
  candidates_[node] = {link_mbps, now, store_unreachable};
}

void StoreReaders::Remove(const std::string& node) {
  candidates_.erase(node);
}

StoreReaders::Rank StoreReaders::MakeRank(const std::string& name, int link_mbps) {
  return {-link_mbps, XXH64(name.data(), name.size(), 0), name};
}

std::vector<std::string> StoreReaders::NodesToProbe() const {
  std::vector<Rank> ranks;
  ranks.reserve(candidates_.size());
  for (const auto& [name, candidate] : candidates_) {
    ranks.push_back(MakeRank(name, candidate.link_mbps));
  }
  std::ranges::sort(ranks);
  ranks.resize(std::min(ranks.size(), options_.readers + options_.standbys));
  std::vector<std::string> nodes;
  nodes.reserve(ranks.size());
  for (const Rank& entry : ranks) {
    nodes.push_back(std::get<2>(entry));
  }
  return nodes;
}

std::vector<std::string> StoreReaders::Readers(TimePoint now) const {
  std::vector<Rank> ranks = {MakeRank(self_, self_link_mbps_)};
  for (const auto& [name, candidate] : candidates_) {
    if (!candidate.store_unreachable && now - candidate.reported_at <= options_.max_report_age) {
      ranks.push_back(MakeRank(name, candidate.link_mbps));
    }
  }
  std::ranges::sort(ranks);
  ranks.resize(std::min(ranks.size(), options_.readers));
  std::vector<std::string> readers;
  readers.reserve(ranks.size());
  for (const Rank& entry : ranks) {
    readers.push_back(std::get<2>(entry));
  }
  return readers;
}

Duration StoreReaders::TakeoverDelay() const {
  const Rank self = MakeRank(self_, self_link_mbps_);
  const auto better =
      static_cast<std::size_t>(std::ranges::count_if(candidates_, [&self](const auto& entry) {
        return MakeRank(entry.first, entry.second.link_mbps) < self;
      }));
  return options_.takeover_interval *
         std::bit_width(better / (options_.readers + options_.standbys));
}

ReaderRole StoreReaders::Role(TimePoint now, bool has_config) {
  if (!has_config || candidates_.empty()) {
    return ReaderRole::kPrimary;
  }
  const auto readers = Readers(now);
  const auto self = std::ranges::find(readers, self_);
  if (self == readers.end()) {
    selected_since_ = {};
  } else {
    if (selected_since_ == TimePoint{}) {
      selected_since_ = now;
    }
    if (now - selected_since_ >= TakeoverDelay()) {
      read_until_ = now + options_.release_delay;
      return self == readers.begin() ? ReaderRole::kPrimary : ReaderRole::kSecondary;
    }
  }
  return now < read_until_ ? ReaderRole::kSecondary : ReaderRole::kNone;
}

}  // namespace limpet
