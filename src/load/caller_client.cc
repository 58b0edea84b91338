#include "load/caller_client.h"

#include <cxxtools/http/request.h>
#include <exception>
#include <utility>

namespace limpet::load {
namespace {

// A node responds within the deadline. The margin lets a refusal that it sends at the deadline
// still reach the caller.
constexpr Duration kResponseMargin = std::chrono::milliseconds(500);

cxxtools::http::Request MakeRequest(const Workload& workload, const std::string& request_id) {
  cxxtools::http::Request request(workload.path);
  request.method(workload.method);
  request.setHeader("X-Request-Id", request_id.c_str());
  request.setHeader("X-Limpet-Caller", workload.caller.c_str());
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(workload.deadline);
  request.setHeader("X-Limpet-Deadline-Ms", std::to_string(deadline.count()).c_str());
  if (workload.method != "GET") {
    std::string body = request_id;
    body.resize(std::max<std::size_t>(body.size(), static_cast<std::size_t>(workload.body_bytes)),
                '.');
    request.body() << body;
  }
  return request;
}

std::string HeaderOrDefault(const cxxtools::http::ReplyHeader& header,
                            const char* name,
                            const char* default_value) {
  const char* value = header.getHeader(name);
  return value == nullptr ? default_value : value;
}

}  // namespace

CallerClient::CallerClient(HostPort node) : node_(std::move(node)) {
  persistent_client_.prepareConnect(node_.host, static_cast<unsigned short>(node_.port));
}

Observation CallerClient::Send(const Workload& workload, const std::string& request_id) {
  if (workload.idempotent) {
    return Execute(persistent_client_, workload, request_id);
  }
  // cxxtools sends a request again if a reused connection closes without a response. A
  // non-idempotent request therefore needs a client that is not yet connected.
  cxxtools::http::Client client;
  client.prepareConnect(node_.host, static_cast<unsigned short>(node_.port));
  return Execute(client, workload, request_id);
}

Observation CallerClient::Execute(cxxtools::http::Client& client,
                                  const Workload& workload,
                                  const std::string& request_id) {
  Observation observation;
  observation.outcome = "error";
  try {
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(workload.deadline + kResponseMargin);
    client.execute(MakeRequest(workload, request_id),
                   cxxtools::Milliseconds(static_cast<double>(timeout.count())));
    client.readBody();
    observation.http_status = static_cast<int>(client.header().httpReturnCode());
    observation.outcome = HeaderOrDefault(client.header(), "X-Limpet-Outcome", "error");
    observation.reason = HeaderOrDefault(client.header(), "X-Limpet-Reason", "");
    if (observation.reason == "none") {
      observation.reason.clear();
    }
    // Target stand-ins return the request id in the response body.
    observation.crossed = observation.outcome == "ran" && observation.http_status == 200 &&
                          client.body().find(request_id) == std::string::npos;
  } catch (const std::exception& error) {
    observation.reason = "no_answer";
    client.close();
  }
  return observation;
}

}  // namespace limpet::load
