#ifndef LIMPET_NET_HTTP_MESSAGE_H_
#define LIMPET_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

using HttpHeaders = std::vector<wire::Header>;

/// Returns the value of the first header with this name, or an empty text if there is none. Names
/// are compared case-insensitively.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// Returns true for headers that apply to one connection (RFC 9110, 7.6.1) or that the HTTP library
/// writes itself. Such headers are not forwarded.
bool IsConnectionHeader(std::string_view name);

/// Parses the whole of `text` as a decimal number. Returns `fallback` if `text` is empty, malformed
/// or negative.
int ParseNonNegative(std::string_view text, int fallback);

struct HttpRequest {
  std::string method = "GET";
  std::string path;
  /// Without the leading question mark.
  std::string query;
  /// Path and query exactly as the caller sent them; set by `edge::HttpSession` only.
  std::string target;
  HttpHeaders headers;
  std::string body;

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

/// Returns true for the statuses with which a node guarantees that a request was not executed and
/// never will be.
bool IsNotRunStatus(int status);

/// Returns the reason phrase of a status, or "Status" for a status that is not in the table.
std::string_view ReasonPhrase(int status);

wire::Header MakeHeader(std::string_view name, std::string_view value);

void RemoveHeader(HttpHeaders& headers, std::string_view name);

/// Replaces all headers with this name by a single one.
void SetHeader(HttpHeaders& headers, std::string_view name, std::string_view value);

HttpResponse JsonResponse(int status, std::string body);
HttpResponse TextResponse(int status, std::string body);

/// Names of the headers that nodes, callers and targets exchange.
inline constexpr const char* kCallerHeader = "X-Limpet-Caller";
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
inline constexpr const char* kDeadlineHeader = "X-Limpet-Deadline-Ms";
inline constexpr const char* kDepthHeader = "X-Limpet-Depth";
inline constexpr const char* kOutcomeHeader = "X-Limpet-Outcome";
inline constexpr const char* kReasonHeader = "X-Limpet-Reason";
/// Present with value 1 on a refusal if a service further down the call chain has already retried
/// the request.
inline constexpr const char* kRetriedHeader = "X-Limpet-Already-Retried";
/// Set by a target on a 503 if it refused the request without executing it. The outcome header
/// cannot be used for this, because a target may forward the headers of a refusal that it received
/// from a downstream service.
inline constexpr const char* kTargetNotRunHeader = "X-Limpet-Target-Not-Run";
inline constexpr const char* kTraceparentHeader = "traceparent";

}  // namespace limpet

#endif  // LIMPET_NET_HTTP_MESSAGE_H_
