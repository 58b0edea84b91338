#ifndef LIMPET_DISTRIBUTION_PUSH_TREE_H_
#define LIMPET_DISTRIBUTION_PUSH_TREE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

inline constexpr int kPushFanOut = 8;

/// Determines which node pushes a version to which others in a data centre. The live members,
/// sorted by a hash of name and version, have the positions from 1; position 0 is the node that
/// received the version from outside (log or another data centre). Position i pushes to positions
/// 8i+1 to 8i+8. The order depends on the version, so that no node is an inner node every time.
class PushTree {
 public:
  /// `live` must outlive the tree.
  PushTree(const std::vector<wire::MemberRecord>& live, int64_t version);

  /// Returns the members that position 0 pushes to.
  std::vector<const wire::MemberRecord*> Roots() const { return Children(0); }
  /// Returns the members that this member pushes to; none if the name is not in the tree.
  std::vector<const wire::MemberRecord*> Children(std::string_view name) const;

 private:
  std::vector<const wire::MemberRecord*> Children(std::size_t position) const;

  std::vector<const wire::MemberRecord*> order_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_PUSH_TREE_H_
