#ifndef LIMPET_DISTRIBUTION_PUSH_TREE_H_
#define LIMPET_DISTRIBUTION_PUSH_TREE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

inline constexpr int kPushFanOut = 8;

/// Who pushes a version to whom inside a data centre. The live members, sorted by a hash of name
/// and version, take the positions from 1 on; position 0 is the node that got the version from
/// outside (log or other data centre). Position i pushes to positions 8i+1 to 8i+8. The order
/// differs for each version, so that no node is an inner node every time.
class PushTree {
 public:
  /// `live` must outlive the tree.
  PushTree(const std::vector<wire::MemberRecord>& live, int64_t version);

  /// Members that position 0 pushes to.
  std::vector<const wire::MemberRecord*> Roots() const { return ChildrenOf(0); }
  /// Members that this member pushes to; none for a name that is not in the tree.
  std::vector<const wire::MemberRecord*> ChildrenOf(std::string_view name) const;

 private:
  std::vector<const wire::MemberRecord*> ChildrenOf(std::size_t position) const;

  std::vector<const wire::MemberRecord*> order_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_PUSH_TREE_H_
