#ifndef LIMPET_CONFIG_CONFIG_H_
#define LIMPET_CONFIG_CONFIG_H_

#include <string>
#include <vector>

#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

/// Thrown for a configuration that breaks a rule of `FindProblems`, e.g. a route to a missing
/// service.
class ValidationError : public Error {
 public:
  explicit ValidationError(std::vector<std::string> problems);

  /// One sentence for each problem; it names the resource.
  const std::vector<std::string>& problems() const { return problems_; }

 private:
  std::vector<std::string> problems_;
};

/// Checks a whole configuration: names are unique, the service and rule of each route and the
/// service of each target exist, routes with the same prefix have no caller in common, and values
/// are in range. Returns one sentence for each problem; empty if the configuration is valid.
std::vector<std::string> FindProblems(const wire::FullConfig& config);

/// Throws `ValidationError` if `FindProblems` returns any problem.
void Validate(const wire::FullConfig& config);

/// Returns the delta that turns `from` into `to`. Resources are matched by name; their order is
/// ignored.
wire::ConfigDelta Diff(const wire::FullConfig& from, const wire::FullConfig& to);

bool IsEmpty(const wire::ConfigDelta& delta);

/// Applies `delta` to `base` and returns the result with resources sorted by name. The version and
/// next offset are those of `base`. Removing an absent name has no effect; a name that is both
/// removed and set is set. The result is not validated.
wire::FullConfig ApplyDelta(const wire::FullConfig& base, const wire::ConfigDelta& delta);

}  // namespace limpet

#endif  // LIMPET_CONFIG_CONFIG_H_
