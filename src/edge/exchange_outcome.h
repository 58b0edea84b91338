#ifndef LIMPET_SRC_EDGE_EXCHANGE_OUTCOME_H_
#define LIMPET_SRC_EDGE_EXCHANGE_OUTCOME_H_

#include "limpet/edge/http_connection.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/traffic/target_gate.h"
#include "limpet_types.h"

namespace limpet::edge {

/// What an exchange with a target means for the caller, and for the statistics of the target.
struct ExchangeOutcome {
  /// Without headers and body of the response.
  wire::LinkReply reply;
  TargetResult result = TargetResult::kNoValidResponse;
};

/// Decides whether the request ran. A response that would promise too much to the caller counts as
/// an unknown outcome.
ExchangeOutcome ClassifyExchange(const ExchangeResult& result, const HttpHeaderNames& header_names);

}  // namespace limpet::edge

#endif  // LIMPET_SRC_EDGE_EXCHANGE_OUTCOME_H_
