#ifndef LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_
#define LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_

#include <cstdint>
#include <map>
#include <string>

namespace limpet::test {

/// Fencing restated: a record counts if and only if its token is the offset of the last claim of
/// its lease and, for a checkpoint, it covers at least as much of the log as the last that counted.
class LeaseOracle {
 public:
  void Claim(const std::string& lease, int64_t offset) { last_claim_[lease] = offset; }

  bool Counts(const std::string& lease, int64_t token) const {
    const auto found = last_claim_.find(lease);
    return found != last_claim_.end() && found->second == token;
  }

  bool CountsCheckpoint(int64_t token, int64_t covered) {
    if (!Counts("checkpoint", token) || covered < covered_) {
      return false;
    }
    covered_ = covered;
    return true;
  }

  const std::map<std::string, int64_t>& claims() const { return last_claim_; }

 private:
  std::map<std::string, int64_t> last_claim_;
  int64_t covered_ = 0;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_
