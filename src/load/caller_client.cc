#include "load/caller_client.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace limpet::load {
namespace {

// A node responds within the deadline. The margin lets a refusal that it sends at the deadline
// still reach the caller.
constexpr Duration kResponseMargin = std::chrono::milliseconds(500);

HttpRequest MakeRequest(const Workload& workload, const std::string& request_id) {
  HttpRequest request;
  request.method = workload.method;
  request.path = workload.path;
  request.headers.push_back(MakeHeader("X-Request-Id", request_id));
  request.headers.push_back(MakeHeader("X-Limpet-Caller", workload.caller));
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(workload.deadline);
  request.headers.push_back(MakeHeader("X-Limpet-Deadline-Ms", std::to_string(deadline.count())));
  if (workload.method != "GET") {
    request.body = request_id;
    request.body.resize(
        std::max<std::size_t>(request_id.size(), static_cast<std::size_t>(workload.body_bytes)),
        '.');
  }
  return request;
}

}  // namespace

CallerClient::CallerClient(HostPort node) : client_(std::move(node.host), node.port) {}

Observation CallerClient::Send(const Workload& workload, const std::string& request_id) {
  Observation observation;
  observation.outcome = "error";
  try {
    const HttpResponse response =
        client_.Exchange(MakeRequest(workload, request_id), workload.idempotent,
                         workload.deadline + kResponseMargin, [] { return false; });
    observation.http_status = response.status;
    const std::string_view outcome = response.Header("X-Limpet-Outcome");
    observation.outcome = outcome.empty() ? "error" : std::string(outcome);
    observation.reason = std::string(response.Header("X-Limpet-Reason"));
    if (observation.reason == "none") {
      observation.reason.clear();
    }
    // Target stand-ins return the request id in the response body.
    observation.crossed = observation.outcome == "ran" && observation.http_status == 200 &&
                          response.body.find(request_id) == std::string::npos;
  } catch (const ExchangeError&) {
    observation.reason = "no_answer";
  }
  return observation;
}

}  // namespace limpet::load
