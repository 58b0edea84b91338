#ifndef LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_
#define LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_

#include <cstdint>
#include <map>
#include <string>

namespace limpet::test {

/// An independent, simple implementation of the fencing rule: a record is valid if and only if its
/// token is the offset of the last claim of its lease. A checkpoint also has to cover at least as
/// much of the log as the last valid one.
class LeaseOracle {
 public:
  void RecordClaim(const std::string& lease, int64_t offset) { last_claim_[lease] = offset; }

  bool IsValid(const std::string& lease, int64_t token) const {
    const auto found = last_claim_.find(lease);
    return found != last_claim_.end() && found->second == token;
  }

  bool ApplyCheckpoint(int64_t token, int64_t next_offset) {
    if (!IsValid("checkpoint", token) || next_offset < next_offset_) {
      return false;
    }
    next_offset_ = next_offset;
    return true;
  }

  const std::map<std::string, int64_t>& claims() const { return last_claim_; }

 private:
  std::map<std::string, int64_t> last_claim_;
  int64_t next_offset_ = 0;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_CONTROL_LEASE_ORACLE_H_
