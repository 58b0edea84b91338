#include "limpet/net/log_client.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "limpet/net/target_client.h"
#include "net/base64.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

struct LogResponse {
  int code = 0;
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
LogStatus ToLogStatus(int code, LogStatus server_error) {
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
      : client_(std::move(address.host), address.port), timeout_(timeout) {}

  LogResult Append(const LogAppend& append) {
    LogResult result;
    result.request = append.request;
    HttpRequest request;
    request.method = "POST";
    request.path = MakePath(append.stream);
    request.headers.push_back(MakeHeader("Content-Type", "application/json"));
    request.body = Json{{"payload", EncodeBase64(append.payload)}}.dump();
    try {
      const LogResponse response = Exchange(request, false);
      if (response.code != 200) {
        result.status = ToLogStatus(response.code, LogStatus::kUnknownOutcome);
      } else {
        const auto offset = FindInteger(response.body, "offset");
        result.offset = offset.value_or(0);
        result.status = result.offset >= 1 ? LogStatus::kOk : LogStatus::kMalformedResponse;
      }
    } catch (const ExchangeError& error) {
      result.status = error.nothing_sent() ? LogStatus::kUnavailable : LogStatus::kUnknownOutcome;
    }
    return result;
  }

  LogResult Read(const LogRead& read) {
    LogResult result;
    result.request = read.request;
    HttpRequest request;
    request.path = MakePath(read.stream);
    request.query =
        "from=" + std::to_string(read.from) + "&max=" + std::to_string(read.max_records);
    try {
      const LogResponse response = Exchange(request, true);
      if (response.code != 200) {
        result.status = ToLogStatus(response.code, LogStatus::kUnavailable);
        if (result.status == LogStatus::kOffsetExpired && !ParseRange(response.body, result)) {
          result.status = LogStatus::kMalformedResponse;
        }
      } else if (!ParseRecords(response.body, read, result)) {
        result = LogResult();
        result.request = read.request;
        result.status = LogStatus::kMalformedResponse;
      }
    } catch (const ExchangeError&) {
      result.status = LogStatus::kUnavailable;
    }
    return result;
  }

 private:
  /// The body of a response that is not JSON, or that may be truncated, is
  /// `Json::value_t::discarded`. Throws `ExchangeError`.
  LogResponse Exchange(const HttpRequest& request, bool idempotent) {
    try {
      const HttpResponse response =
          client_.Exchange(request, idempotent, timeout_, [] { return false; });
      return {response.status, Json::parse(response.body, nullptr, false)};
    } catch (const ExchangeError& error) {
      if (error.failure() != ExchangeFailure::kTruncatedReply) {
        throw;
      }
      return {200, Json(Json::value_t::discarded)};
    }
  }

  TargetClient client_;
  Duration timeout_;
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
