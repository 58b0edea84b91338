#ifndef LIMPET_SRC_CLI_NODE_ACCESS_H_
#define LIMPET_SRC_CLI_NODE_ACCESS_H_

#include <string>

namespace limpet {

struct NodeReply {
  /// HTTP status; 0 if no complete reply arrived.
  unsigned code = 0;
  std::string body;
};

/// Admin requests to one node. No implementation throws.
class NodeAccess {
 public:
  virtual ~NodeAccess() = default;

  virtual NodeReply Get(const std::string& path) = 0;
  virtual NodeReply Post(const std::string& path) = 0;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_NODE_ACCESS_H_
