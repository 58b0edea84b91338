#ifndef LIMPET_SRC_CLI_NODE_CONFIG_H_
#define LIMPET_SRC_CLI_NODE_CONFIG_H_

#include <string>

#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

/// Parses the response of a node to GET /config. Throws `DecodeError` if it is malformed.
wire::FullConfig ParseNodeConfig(const std::string& body);

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_NODE_CONFIG_H_
