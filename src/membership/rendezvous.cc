#include "membership/rendezvous.h"

#include <algorithm>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace limpet {

uint64_t RendezvousHash(std::string_view name, std::string_view data_centre) {
  std::string key;
  key.reserve(name.size() + data_centre.size() + 1);
  // The separator gives ("ab", "c") and ("a", "bc") different keys.
  key.append(name).append(1, '\n').append(data_centre);
  return XXH3_64bits(key.data(), key.size());
}

std::vector<const Member*> TopByHash(const std::vector<const Member*>& members, int count) {
  std::vector<const Member*> top = members;
  const auto kept = std::min(top.size(), static_cast<std::size_t>(std::max(count, 0)));
  std::partial_sort(top.begin(), top.begin() + static_cast<std::ptrdiff_t>(kept), top.end(),
                    [](const Member* a, const Member* b) {
                      return std::tie(a->rendezvous_hash, a->record.name) >
                             std::tie(b->rendezvous_hash, b->record.name);
                    });
  top.resize(kept);
  return top;
}

}  // namespace limpet
