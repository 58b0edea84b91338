#ifndef LIMPET_SRC_CLI_NODE_ACCESS_H_
#define LIMPET_SRC_CLI_NODE_ACCESS_H_

#include <string>

namespace limpet {

struct NodeResponse {
  /// HTTP status; 0 if no complete response was received.
  unsigned code = 0;
  std::string body;
};

/// Sends admin requests to one node. Implementations must not throw.
class NodeAccess {
 public:
  virtual ~NodeAccess() = default;

  virtual NodeResponse Get(const std::string& path) = 0;
  virtual NodeResponse Post(const std::string& path) = 0;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_NODE_ACCESS_H_
