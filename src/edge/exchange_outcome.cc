#include "exchange_outcome.h"

namespace limpet::edge {

namespace {

using Reason = wire::RefusalReason;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

ExchangeOutcome ClassifyResponse(const HttpResponse& response,
                                 const HttpHeaderNames& header_names) {
  ExchangeOutcome outcome;
  outcome.reply.reached_target = true;
  outcome.reply.http_status = response.status;
  const bool not_executed =
      !response.Header(header_names.not_executed).empty() || response.status == 421;
  if (not_executed) {
    outcome.reply.outcome = wire::Outcome::kNotRun;
    outcome.reply.reason =
        response.status == 421 ? Reason::kWrongIncarnation : Reason::kTargetUnavailable;
    outcome.result = TargetResult::kNotExecuted;
    return outcome;
  }
  const bool signed_by_target = header_names.response_signature.empty() ||
                                !response.Header(header_names.response_signature).empty();
  // In this mesh, such a status tells the caller that the request did not run. The target does not
  // guarantee that, so its response is not forwarded.
  const bool means_not_run = IsNotRunStatus(response.status);
  const bool encoded = !response.Header("Content-Encoding").empty();
  if (means_not_run || (IsSuccess(response.status) && (!signed_by_target || encoded))) {
    outcome.reply.outcome = wire::Outcome::kUnknown;
    outcome.reply.reason = Reason::kTruncatedReply;
    outcome.result = TargetResult::kNoValidResponse;
    return outcome;
  }
  outcome.reply.outcome = wire::Outcome::kRan;
  outcome.result = response.status >= 500 ? TargetResult::kFailed : TargetResult::kSucceeded;
  return outcome;
}

}  // namespace

ExchangeOutcome ClassifyExchange(const ExchangeResult& result,
                                 const HttpHeaderNames& header_names) {
  ExchangeOutcome outcome;
  outcome.reply.outcome = wire::Outcome::kUnknown;
  outcome.reply.reached_target = true;
  switch (result.status) {
    case ExchangeStatus::kResponded:
      return ClassifyResponse(result.response, header_names);
    case ExchangeStatus::kNotConnected:
      outcome.reply.outcome = wire::Outcome::kNotRun;
      outcome.reply.reached_target = false;
      outcome.reply.reason = Reason::kTargetUnavailable;
      outcome.result = TargetResult::kUnreachable;
      break;
    case ExchangeStatus::kBroken:
      outcome.reply.reason = Reason::kConnectionLost;
      outcome.result = TargetResult::kNoValidResponse;
      break;
    case ExchangeStatus::kTimedOut:
      outcome.reply.reason = Reason::kTargetTimeout;
      outcome.result = TargetResult::kTimedOut;
      break;
  }
  return outcome;
}

}  // namespace limpet::edge
