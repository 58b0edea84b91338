#include "limpet/edge/http_convert.h"

#include <boost/beast/core/string.hpp>
#include <utility>

namespace limpet::edge {

namespace http = boost::beast::http;

namespace {

/// Host is end-to-end although some libraries write it themselves.
bool IsForwarded(std::string_view name) {
  return boost::beast::iequals(boost::beast::string_view(name.data(), name.size()), "Host") ||
         !IsConnectionHeader(name);
}

HttpHeaders ToHeaders(const http::fields& fields) {
  HttpHeaders headers;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (IsForwarded(name)) {
      headers.push_back(MakeHeader(name, {field.value().data(), field.value().size()}));
    }
  }
  return headers;
}

void SetFields(http::fields& fields, const HttpHeaders& headers) {
  for (const auto& header : headers) {
    if (IsForwarded(header.name)) {
      fields.insert(header.name, header.value);
    }
  }
}

}  // namespace

HttpRequest ToHttpRequest(BeastRequest message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  const std::size_t query = request.target.find('?');
  request.path = request.target.substr(0, query);
  if (query != std::string::npos) {
    request.query = request.target.substr(query + 1);
  }
  request.headers = ToHeaders(message);
  request.body = std::move(message.body());
  return request;
}

HttpAnswer ToHttpAnswer(BeastResponse message) {
  HttpAnswer answer;
  answer.status = static_cast<int>(message.result_int());
  answer.headers = ToHeaders(message);
  answer.body = std::move(message.body());
  return answer;
}

BeastResponse ToResponse(HttpAnswer answer, bool bodyless) {
  BeastResponse message;
  message.version(11);
  message.result(static_cast<unsigned>(answer.status));
  SetFields(message, answer.headers);
  const std::size_t length = answer.body.size();
  if (!bodyless) {
    message.body() = std::move(answer.body);
  }
  const bool has_length = answer.status >= 200 && answer.status != 204 && answer.status != 304;
  if (has_length) {
    message.content_length(length);
  }
  return message;
}

BeastRequest ToRequest(HttpRequest request) {
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

}  // namespace limpet::edge
