#include "limpet/core/counters.h"

#include <map>

namespace limpet {

Counter& Counters::Get(const std::string& name) {
  const std::lock_guard lock(mutex_);
  for (Entry& entry : entries_) {
    if (entry.name == name) {
      return entry.counter;
    }
  }
  Entry& entry = entries_.emplace_back();
  entry.name = name;
  return entry.counter;
}

std::string Counters::Render() const {
  std::map<std::string, int64_t> sorted;
  {
    const std::lock_guard lock(mutex_);
    for (const Entry& entry : entries_) {
      sorted[entry.name] = entry.counter.value();
    }
  }
  std::string text;
  for (const auto& [name, value] : sorted) {
    text += name + " " + std::to_string(value) + "\n";
  }
  return text;
}

}  // namespace limpet
