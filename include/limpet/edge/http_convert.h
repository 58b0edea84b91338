#ifndef LIMPET_EDGE_HTTP_CONVERT_H_
#define LIMPET_EDGE_HTTP_CONVERT_H_

#include "limpet/edge/asio.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "limpet/net/http_message.h"

namespace limpet::edge {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Conversions between the project's messages and Beast's. Headers that belong to one connection
/// are left out in both directions.
HttpRequest ToHttpRequest(BeastRequest message);
HttpResponse ToHttpResponse(BeastResponse message);
/// `bodyless` for an answer to HEAD, which announces its length but carries no body.
BeastResponse ToBeastResponse(HttpResponse response, bool bodyless);
BeastRequest ToBeastRequest(HttpRequest request);

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_CONVERT_H_
