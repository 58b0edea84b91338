#ifndef LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_
#define LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_

#include <string>

#include "cli/node_access.h"
#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// Sends the admin requests over HTTP.
class HttpNodeAccess : public NodeAccess {
 public:
  HttpNodeAccess(PeerAddress address, Duration timeout);

  NodeResponse Get(const std::string& path) override;
  NodeResponse Post(const std::string& path) override;

 private:
  NodeResponse Exchange(const std::string& method, const std::string& path) const;

  PeerAddress address_;
  Duration timeout_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_HTTP_NODE_ACCESS_H_
