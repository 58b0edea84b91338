#ifndef LIMPET_ROLLOUT_ROLLOUT_ANALYSIS_H_
#define LIMPET_ROLLOUT_ROLLOUT_ANALYSIS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// Why a version counts as bad.
enum class RolloutFault { kFailures, kSlow };

inline constexpr EnumNames<RolloutFault, 2> kRolloutFaultNames = {{
    {RolloutFault::kFailures, "failures"},
    {RolloutFault::kSlow, "slow"},
}};

/// How improbable the results of a version have to be for a sound one.
struct RolloutEvidence {
  /// Probability of so many bad responses.
  double false_alarm = 0;
  /// Deviations of the mean service time from that of the old version.
  double deviations = 0;
  double min_bad = 0;
};

/// For the test that is repeated several times per second on each route.
inline constexpr RolloutEvidence kProof = {1e-5, 5, 4};
/// While the old targets are closing, which takes a few seconds in which all requests go to the new
/// version.
inline constexpr RolloutEvidence kClosingProof = {3e-5, 5, 4};
/// For the single test before a roll-out is completed.
inline constexpr RolloutEvidence kSuspicion = {1e-4, 4, 3};

/// Results of requests of one route.
struct RolloutCounts {
  int64_t requests = 0;
  /// Failed responses and ones that took several times the typical service time.
  int64_t bad = 0;
  double service_time_us = 0;
};

/// Compares the results of the new version with those of the old one by route and second, so that a
/// failure that hits both versions, or a change of the load, does not count against the new one.
class RolloutAnalysis {
 public:
  /// Adds what one report of one target contains.
  void Add(TimePoint now, const std::string& route, bool is_new, const RolloutCounts& counts);
  /// Returns why the new version is bad, on one route or on all together; nothing if it is not.
  std::optional<RolloutFault> FindFault(const RolloutEvidence& evidence) const;

  int64_t new_requests() const { return new_requests_; }
  int64_t requests() const { return requests_; }
  /// Requests per second of both versions in the last seconds.
  double RecentRate(TimePoint now) const;

 private:
  struct Cell {
    RolloutCounts old_version;
    RolloutCounts new_version;
  };
  /// Results of the new version relative to what the old one would have had.
  struct Comparison {
    double requests = 0;
    double bad = 0;
    double expected_bad = 0;
    /// Service time beyond the expected one, in service times of the old version.
    double excess_time = 0;

    void Add(const Comparison& other);
    std::optional<RolloutFault> FindFault(const RolloutEvidence& evidence) const;
  };

  Comparison Compare(const std::string& route, const Cell& cell) const;
  /// Moves cells that are no longer recent into `earlier_`.
  void Fold(TimePoint now);

  /// By second and route.
  std::map<std::pair<int64_t, std::string>, Cell> cells_;
  std::map<std::string, Comparison> earlier_;
  /// Totals of the old version by route, and over all routes.
  std::map<std::string, RolloutCounts> old_by_route_;
  RolloutCounts old_total_;
  int64_t requests_ = 0;
  int64_t new_requests_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_ROLLOUT_ROLLOUT_ANALYSIS_H_
