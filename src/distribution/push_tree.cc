#include "limpet/distribution/push_tree.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace limpet {

PushTree::PushTree(const std::vector<wire::MemberRecord>& live, int64_t version) {
  std::vector<std::pair<uint64_t, const wire::MemberRecord*>> keyed;
  keyed.reserve(live.size());
  for (const wire::MemberRecord& member : live) {
    keyed.emplace_back(XXH3_64bits_withSeed(member.name.data(), member.name.size(),
                                            static_cast<uint64_t>(version)),
                       &member);
  }
  std::ranges::sort(keyed, [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->name < b.second->name;
  });
  order_.reserve(keyed.size());
  for (const auto& [hash, member] : keyed) {
    order_.push_back(member);
  }
}

std::vector<const wire::MemberRecord*> PushTree::Children(std::string_view name) const {
  const auto found = std::ranges::find_if(
      order_, [&](const wire::MemberRecord* member) { return member->name == name; });
  if (found == order_.end()) {
    return {};
  }
  return Children(static_cast<std::size_t>(found - order_.begin()) + 1);
}

std::vector<const wire::MemberRecord*> PushTree::Children(std::size_t position) const {
  const std::size_t first = std::min(position * kPushFanOut, order_.size());
  const std::size_t last = std::min(first + kPushFanOut, order_.size());
  return {order_.begin() + static_cast<std::ptrdiff_t>(first),
          order_.begin() + static_cast<std::ptrdiff_t>(last)};
}

}  // namespace limpet
