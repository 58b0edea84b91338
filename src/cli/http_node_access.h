#ifndef LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_
#define LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_

#include <string>

#include "cli/node_access.h"
#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// `NodeAccess` over HTTP.
class HttpNodeAccess : public NodeAccess {
 public:
  HttpNodeAccess(PeerAddress address, Duration timeout);

  NodeReply Get(const std::string& path) override;
  NodeReply Post(const std::string& path) override;

 private:
  NodeReply Exchange(const std::string& method, const std::string& path) const;

  PeerAddress address_;
  Duration timeout_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_
