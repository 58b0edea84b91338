#include "limpet/edge/http_convert.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

namespace limpet::edge {

namespace http = boost::beast::http;

namespace {

/// Host is end-to-end, although some HTTP libraries set it themselves.
bool IsForwarded(std::string_view name) {
  return boost::beast::iequals(boost::beast::string_view(name.data(), name.size()), "Host") ||
         !IsConnectionHeader(name);
}

void SetFields(http::fields& fields, const HttpHeaders& headers) {
  for (const auto& header : headers) {
    if (IsForwarded(header.name)) {
      fields.insert(header.name, header.value);
    }
  }
}

}  // namespace

HttpHeaders ToHttpHeaders(const http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (IsForwarded(name)) {
      headers.push_back(MakeHeader(name, {field.value().data(), field.value().size()}));
    }
  }
  return headers;
}

HttpRequest ToHttpRequest(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  const std::size_t query = request.target.find('?');
  request.path = request.target.substr(0, query);
  if (query != std::string::npos) {
    request.query = request.target.substr(query + 1);
  }
  request.headers = ToHttpHeaders(message);
  request.body = std::move(message.body());
  return request;
}

BeastResponse ToBeastResponse(HttpResponse response, bool omit_body) {
  BeastResponse message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  SetFields(message, response.headers);
  const std::size_t length = response.body.size();
  if (!omit_body) {
    message.body() = std::move(response.body);
  }
  const bool has_length =
      response.status >= 200 && response.status != 204 && response.status != 304;
  if (has_length) {
    message.content_length(length);
  }
  return message;
}

BeastRequest ToBeastRequest(HttpRequest request) {
  BeastRequest message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  SetFields(message, request.headers);
  const bool has_body = !request.body.empty();
  message.body() = std::move(request.body);
  if (has_body || request.method == "POST" || request.method == "PUT" ||
      request.method == "PATCH") {
    message.content_length(message.body().size());
  }
  return message;
}

std::string FormatRetryAfter(Duration retry) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(retry).count());
  return text.data();
}

}  // namespace limpet::edge
