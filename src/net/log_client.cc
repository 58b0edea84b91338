#include "limpet/net/log_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "net/base64.h"
#include "net/tcp_socket.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

/// Largest response that is read. Holds several checkpoints of the design size (0.6 MB).
constexpr std::size_t kMaxResponseBytes = 64U << 20U;

struct LogResponse {
  unsigned code = 0;
  Json body;
};

/// Returns no value if the member is missing, not an integer or out of range.
std::optional<int64_t> FindInteger(const Json& object, const char* key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (it == object.end() || !it->is_number_integer() || *it > INT64_MAX) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

/// Returns no value if the member is missing or not a string.
std::optional<std::string> FindString(const Json& object, const char* key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::string MakePath(const std::string& stream) {
  return "/streams/" + stream + "/records";
}

/// Returns the status for a response with an HTTP status other than 200. `server_error` is returned
/// for a status of 500 or above that has no `LogStatus` of its own.
LogStatus ToLogStatus(unsigned code, LogStatus server_error) {
  switch (code) {
    case 410:
      return LogStatus::kOffsetExpired;
    case 413:
      return LogStatus::kTooLarge;
    case 429:
      return LogStatus::kThrottled;
    case 503:
      return LogStatus::kUnavailable;
    default:
      return code >= 500 ? server_error : LogStatus::kMalformedResponse;
  }
}

/// Returns false if the range is missing or malformed.
bool ParseRange(const Json& body, LogResult& result) {
  const auto first = FindInteger(body, "first_offset");
  const auto end = FindInteger(body, "end_offset");
  if (!first || !end || *first < 1 || *end < *first) {
    return false;
  }
  result.first_offset = *first;
  result.end_offset = *end;
  return true;
}

/// Accepts only ascending offsets inside the requested range and the range that the response
/// states, so that a faulty server cannot make a reader skip or repeat records. Returns false
/// otherwise.
bool ParseRecords(const Json& body, const LogRead& request, LogResult& result) {
  if (!ParseRange(body, result)) {
    return false;
  }
  const auto it = body.find("records");
  if (it == body.end() || !it->is_array()) {
    return false;
  }
  int64_t lowest = std::max(request.from, result.first_offset);
  for (const Json& item : *it) {
    const auto offset = FindInteger(item, "offset");
    const auto text = FindString(item, "payload");
    if (!offset || !text || *offset < lowest || *offset >= result.end_offset) {
      return false;
    }
    auto payload = DecodeBase64(*text);
    if (!payload) {
      return false;
    }
    result.records.push_back({*offset, std::move(*payload)});
    lowest = *offset + 1;
  }
  return true;
}

}  // namespace

class LogClient::Impl {
 public:
  Impl(PeerAddress address, Duration timeout)
      : address_(std::move(address)),
        timeout_(std::chrono::duration_cast<std::chrono::milliseconds>(timeout)) {}

  LogResult Append(const LogAppend& append) {
    LogResult result;
    result.request = append.request;
    // If the connection attempt fails, nothing was sent. A failure of `Exchange` does not show
    // whether the request was sent.
    if (!CanConnect(address_.host, address_.port, static_cast<int>(timeout_.count()))) {
      result.status = LogStatus::kUnavailable;
      return result;
    }
    // cxxtools sends a request again if a connection that was open before the request closes
    // without a response. An append therefore uses a client that is not yet connected.
    std::optional<cxxtools::http::Client> client;
    cxxtools::http::Request request(MakePath(append.stream));
    request.method("POST");
    request.setHeader("Content-Type", "application/json");
    request.body() << Json{{"payload", EncodeBase64(append.payload)}}.dump();
    const auto response = Exchange(client, request);
    if (!response) {
      result.status = LogStatus::kUnknownOutcome;
    } else if (response->code != 200) {
      result.status = ToLogStatus(response->code, LogStatus::kUnknownOutcome);
    } else {
      const auto offset = FindInteger(response->body, "offset");
      result.offset = offset.value_or(0);
      result.status = result.offset >= 1 ? LogStatus::kOk : LogStatus::kMalformedResponse;
    }
    return result;
  }

  LogResult Read(const LogRead& read) {
    LogResult result;
    result.request = read.request;
    cxxtools::http::Request request(MakePath(read.stream));
    request.method("GET");
    request.qparams("from=" + std::to_string(read.from) +
                    "&max=" + std::to_string(read.max_records));
    const auto response = Exchange(reader_, request);
    if (!response) {
      reader_.reset();
      result.status = LogStatus::kUnavailable;
    } else if (response->code != 200) {
      result.status = ToLogStatus(response->code, LogStatus::kUnavailable);
      if (result.status == LogStatus::kOffsetExpired && !ParseRange(response->body, result)) {
        result.status = LogStatus::kMalformedResponse;
      }
    } else if (!ParseRecords(response->body, read, result)) {
      result = LogResult();
      result.request = read.request;
      result.status = LogStatus::kMalformedResponse;
    }
    return result;
  }

 private:
  /// Returns no value if no complete response was received. The body of a response that is not JSON
  /// is `Json::value_t::discarded`.
  std::optional<LogResponse> Exchange(std::optional<cxxtools::http::Client>& client,
                                      const cxxtools::http::Request& request) const {
    try {
      if (!client) {
        client.emplace().prepareConnect(address_.host, static_cast<unsigned short>(address_.port));
      }
      const cxxtools::Milliseconds timeout(static_cast<double>(timeout_.count()));
      const auto& header = client->execute(request, timeout, timeout);
      // Without Content-Length cxxtools reports a truncated response as complete.
      if (!header.hasHeader("Content-Length") || header.contentLength() > kMaxResponseBytes) {
        const unsigned code = header.httpReturnCode();
        client.reset();
        return LogResponse{code, Json(Json::value_t::discarded)};
      }
      const std::string body = client->readBody().body();
      return LogResponse{header.httpReturnCode(), Json::parse(body, nullptr, false)};
    } catch (const std::exception&) {
      return std::nullopt;
    }
  }

  PeerAddress address_;
  std::chrono::milliseconds timeout_;
  std::optional<cxxtools::http::Client> reader_;
};

LogClient::LogClient(PeerAddress address, Duration timeout)
    : impl_(std::make_unique<Impl>(std::move(address), timeout)) {}

LogClient::~LogClient() = default;

LogResult LogClient::Append(const LogAppend& request) {
  return impl_->Append(request);
}

LogResult LogClient::Read(const LogRead& request) {
  return impl_->Read(request);
}

LogResult LogClient::Execute(const LogRequest& request) {
  if (const auto* append = std::get_if<LogAppend>(&request)) {
    return Append(*append);
  }
  return Read(std::get<LogRead>(request));
}

}  // namespace limpet
