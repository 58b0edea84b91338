#ifndef LIMPET_EDGE_HTTP_CONVERT_H_
#define LIMPET_EDGE_HTTP_CONVERT_H_

#include "limpet/edge/asio.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "limpet/net/http_message.h"

namespace limpet::edge {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Conversions between this project's HTTP messages and those of Beast. Hop-by-hop headers are
/// dropped in both directions.
HttpRequest ToHttpRequest(BeastRequest message);
HttpHeaders ToHttpHeaders(const boost::beast::http::fields& fields);
/// `omit_body` is for responses to HEAD, which have a Content-Length but no body.
BeastResponse ToBeastResponse(HttpResponse response, bool omit_body);
BeastRequest ToBeastRequest(HttpRequest request);

/// Formats a Retry-After value in seconds with three decimals, which the callers of this mesh
/// accept.
std::string FormatRetryAfter(Duration retry);

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_CONVERT_H_
