#ifndef LIMPET_NET_HTTP_MESSAGE_H_
#define LIMPET_NET_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

using HttpHeaders = std::vector<wire::Header>;

/// Value of the first header of this name, compared without case; empty if absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

/// True for headers that belong to one connection (RFC 9110, 7.6.1) or that the HTTP library writes
/// itself. They are not forwarded.
bool IsConnectionHeader(std::string_view name);

/// The number that `text` consists of; `fallback` if it is empty, malformed or negative.
int ParseNonNegative(std::string_view text, int fallback);

struct HttpRequest {
  std::string method = "GET";
  std::string path;
  /// Without the question mark.
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

/// True for statuses by which a node promises that a request has not run and never will.
bool IsNotRunStatus(int status);

/// Reason phrase of a status; "Status" if it is not in the table.
std::string_view ReasonPhrase(int status);

wire::Header MakeHeader(std::string_view name, std::string_view value);

/// Replaces all headers of this name by one.
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
/// Present with value 1 on a refusal that a level below has retried already.
inline constexpr const char* kRetriedHeader = "X-Limpet-Already-Retried";
/// Set by a target on a 503 if it refused before running the request. Not the outcome header,
/// because a target may pass on the headers of a refusal that it got itself from a downstream
/// service.
inline constexpr const char* kTargetNotRunHeader = "X-Limpet-Target-Not-Run";
inline constexpr const char* kTraceparentHeader = "traceparent";

}  // namespace limpet

#endif  // LIMPET_NET_HTTP_MESSAGE_H_
