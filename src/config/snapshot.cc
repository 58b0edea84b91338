#include "limpet/config/snapshot.h"

#include <algorithm>
#include <utility>

#include "limpet/config/config.h"

namespace limpet {
namespace {

template <typename Resource>
const Resource* FindByName(const std::vector<Resource>& resources, std::string_view name) {
  const auto it = std::ranges::lower_bound(
      resources, name, {}, [](const Resource& r) { return std::string_view(r.name); });
  return it != resources.end() && it->name == name ? &*it : nullptr;
}

bool IsCallerAllowed(const wire::Route& route, std::string_view caller) {
  return route.callers.empty() || std::ranges::find(route.callers, caller) != route.callers.end();
}

}  // namespace

ConfigSnapshot::ConfigSnapshot(wire::FullConfig config) : config_(std::move(config)) {
  Validate(config_);
  std::ranges::sort(config_.services, {}, &wire::Service::name);
  std::ranges::sort(config_.targets, {}, &wire::Target::name);
  std::ranges::sort(config_.rules, {}, &wire::Rule::name);
  std::ranges::sort(config_.routes, {}, &wire::Route::name);
  routes_by_prefix_.resize(config_.routes.size());
  for (std::size_t i = 0; i < routes_by_prefix_.size(); ++i) {
    routes_by_prefix_[i] = i;
    longest_prefix_ = std::max(longest_prefix_, config_.routes[i].path_prefix.size());
  }
  std::ranges::stable_sort(routes_by_prefix_, {}, [this](std::size_t i) { return GetPrefix(i); });
}

std::string_view ConfigSnapshot::GetPrefix(std::size_t route) const {
  return config_.routes[route].path_prefix;
}

const wire::Route* ConfigSnapshot::FindRoute(std::string_view path, std::string_view caller) const {
  path = path.substr(0, path.find_first_of("?#"));
  // Each iteration removes the last segment. Paths longer than the longest prefix cannot match.
  while (!path.empty()) {
    if (path.size() <= longest_prefix_) {
      auto it = std::ranges::lower_bound(routes_by_prefix_, path, {},
                                         [this](std::size_t i) { return GetPrefix(i); });
      for (; it != routes_by_prefix_.end() && GetPrefix(*it) == path; ++it) {
        if (IsCallerAllowed(config_.routes[*it], caller)) {
          return &config_.routes[*it];
        }
      }
    }
    const std::size_t slash = path.rfind('/');
    if (path.size() == 1 || slash == std::string_view::npos) {
      break;
    }
    path = path.substr(0, std::max<std::size_t>(slash, 1));
  }
  return nullptr;
}

const wire::Service* ConfigSnapshot::FindService(std::string_view name) const {
  return FindByName(config_.services, name);
}

const wire::Rule* ConfigSnapshot::FindRule(std::string_view name) const {
  return FindByName(config_.rules, name);
}

const wire::Target* ConfigSnapshot::FindTarget(std::string_view name) const {
  return FindByName(config_.targets, name);
}

}  // namespace limpet
