#include "limpet/net/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace limpet {

namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

constexpr std::array<std::pair<int, std::string_view>, 13> kReasonPhrases = {{
    {200, "OK"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {413, "Content Too Large"},
    {431, "Request Header Fields Too Large"},
    {499, "Client Closed Request"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool IsConnectionHeader(std::string_view name) {
  constexpr std::array<std::string_view, 11> kNames = {
      "Connection", "Keep-Alive", "Proxy-Connection", "TE",   "Trailer", "Transfer-Encoding",
      "Upgrade",    "Host",       "Content-Length",   "Date", "Server"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view known) { return EqualsIgnoringCase(known, name); });
}

int ParseNonNegative(std::string_view text, int fallback) {
  int value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  return is_number && value >= 0 ? value : fallback;
}

bool IsNotRunStatus(int status) {
  constexpr std::array<int, 4> kStatuses = {408, 421, 429, 503};
  return std::find(kStatuses.begin(), kStatuses.end(), status) != kStatuses.end();
}

std::string_view ReasonPhrase(int status) {
  for (const auto& [code, phrase] : kReasonPhrases) {
    if (code == status) {
      return phrase;
    }
  }
  return "Status";
}

wire::Header MakeHeader(std::string_view name, std::string_view value) {
  wire::Header header;
  header.name = name;
  header.value = value;
  return header;
}

void RemoveHeader(HttpHeaders& headers, std::string_view name) {
  std::erase_if(headers,
                [&](const wire::Header& header) { return EqualsIgnoringCase(header.name, name); });
}

void SetHeader(HttpHeaders& headers, std::string_view name, std::string_view value) {
  RemoveHeader(headers, name);
  headers.push_back(MakeHeader(name, value));
}

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {MakeHeader("Content-Type", "application/json")}, std::move(body)};
}

HttpResponse TextResponse(int status, std::string body) {
  return {status, {MakeHeader("Content-Type", "text/plain")}, std::move(body)};
}

}  // namespace limpet
