#ifndef LIMPET_CONFIG_CONFIG_H_
#define LIMPET_CONFIG_CONFIG_H_

#include <string>
#include <vector>

#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

/// A configuration whose resources do not fit together, e.g. a route to a missing service.
class ValidationError : public Error {
 public:
  explicit ValidationError(std::vector<std::string> problems);

  /// One sentence for each problem found, naming the resource.
  const std::vector<std::string>& problems() const { return problems_; }

 private:
  std::vector<std::string> problems_;
};

/// Checks the configuration as a whole: unique names, each route's service and rule present, each
/// target's service present, unique route prefixes for overlapping callers, values in range.
/// Returns one sentence for each problem; empty when valid.
std::vector<std::string> FindProblems(const wire::FullConfig& config);

/// Throws `ValidationError` unless `FindProblems` is empty.
void Validate(const wire::FullConfig& config);

/// The delta that turns `from` into `to`. Resources are compared by name; order is ignored.
wire::ConfigDelta Diff(const wire::FullConfig& from, const wire::FullConfig& to);

bool IsEmpty(const wire::ConfigDelta& delta);

/// Result of `delta` on `base`, resources sorted by name. Version and next offset are those of
/// `base`. Removing a name that is absent has no effect; a name that is both removed and set is
/// set. Does not validate.
wire::FullConfig ApplyDelta(const wire::FullConfig& base, const wire::ConfigDelta& delta);

}  // namespace limpet

#endif  // LIMPET_CONFIG_CONFIG_H_
