#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>

namespace limpet {

void GossipQueue::Push(std::string_view name) {
  transmissions_.insert_or_assign(std::string(name), 0);
}

void GossipQueue::Remove(std::string_view name) {
  const auto it = transmissions_.find(name);
  if (it != transmissions_.end()) {
    transmissions_.erase(it);
  }
}

std::vector<std::string> GossipQueue::SelectBatch(
    int max_bytes,
    int limit,
    const std::function<int(const std::string&)>& size_of) {
  using Iterator = std::map<std::string, int, std::less<>>::iterator;
  std::vector<Iterator> order;
  order.reserve(transmissions_.size());
  for (auto it = transmissions_.begin(); it != transmissions_.end(); ++it) {
    order.push_back(it);
  }
  std::ranges::stable_sort(order, {}, [](Iterator it) { return it->second; });
  std::vector<std::string> names;
  int bytes = 0;
  for (const Iterator it : order) {
    const int size = size_of(it->first);
    if (!names.empty() && bytes + size > max_bytes) {
      break;
    }
    bytes += size;
    names.push_back(it->first);
    if (++it->second >= limit) {
      transmissions_.erase(it);
    }
  }
  return names;
}

int TransmissionLimit(int factor, std::size_t group_size) {
  // bit_width(n) equals ceil(log2(n + 1)).
  return factor * std::max(1, static_cast<int>(std::bit_width(group_size)));
}

}  // namespace limpet
