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

/// Largest reply that is read; several checkpoints of the design size (0.6 MB) fit.
constexpr std::size_t kMaxReplyBytes = 64U << 20U;

struct HttpReply {
  unsigned code = 0;
  Json body;
};

std::optional<int64_t> Integer(const Json& object, const char* key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (it == object.end() || !it->is_number_integer() || *it > INT64_MAX) {
    return std::nullopt;
  }
  return it->get<int64_t>();
}

std::optional<std::string> Text(const Json& object, const char* key) {
  const auto it = object.is_object() ? object.find(key) : object.end();
  if (it == object.end() || !it->is_string()) {
    return std::nullopt;
  }
  return it->get<std::string>();
}

std::string Path(const std::string& stream) {
  return "/streams/" + stream + "/records";
}

/// Status of a reply that carries neither an offset nor records.
LogStatus RefusalStatus(unsigned code, LogStatus server_error) {
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

bool ReadRange(const Json& body, LogResult& result) {
  const auto first = Integer(body, "first_offset");
  const auto end = Integer(body, "end_offset");
  if (!first || !end || *first < 1 || *end < *first) {
    return false;
  }
  result.first_offset = *first;
  result.end_offset = *end;
  return true;
}

/// Accepts only ascending offsets inside the asked and announced range, so that a confused server
/// cannot make a reader skip or repeat records.
bool ReadRecords(const Json& body, const LogRead& request, LogResult& result) {
  if (!ReadRange(body, result)) {
    return false;
  }
  const auto it = body.find("records");
  if (it == body.end() || !it->is_array()) {
    return false;
  }
  int64_t lowest = std::max(request.from, result.first_offset);
  for (const Json& item : *it) {
    const auto offset = Integer(item, "offset");
    const auto text = Text(item, "payload");
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
    // A failed connection attempt proves that nothing was sent; a failure of `Exchange` does not
    // tell whether it happened before or after the request was sent.
    if (!CanConnect(address_.host, address_.port, static_cast<int>(timeout_.count()))) {
      result.status = LogStatus::kUnavailable;
      return result;
    }
    // cxxtools sends a request again if a connection that was open before the request closes
    // without a reply. An append therefore goes on a client that is not yet connected.
    std::optional<cxxtools::http::Client> client;
    cxxtools::http::Request request(Path(append.stream));
    request.method("POST");
    request.setHeader("Content-Type", "application/json");
    request.body() << Json{{"payload", EncodeBase64(append.payload)}}.dump();
    const auto reply = Exchange(client, request);
    if (!reply) {
      result.status = LogStatus::kUnknownOutcome;
    } else if (reply->code != 200) {
      result.status = RefusalStatus(reply->code, LogStatus::kUnknownOutcome);
    } else {
      const auto offset = Integer(reply->body, "offset");
      result.offset = offset.value_or(0);
      result.status = result.offset >= 1 ? LogStatus::kOk : LogStatus::kMalformedResponse;
    }
    return result;
  }

  LogResult Read(const LogRead& read) {
    LogResult result;
    result.request = read.request;
    cxxtools::http::Request request(Path(read.stream));
    request.method("GET");
    request.qparams("from=" + std::to_string(read.from) +
                    "&max=" + std::to_string(read.max_records));
    const auto reply = Exchange(reader_, request);
    if (!reply) {
      reader_.reset();
      result.status = LogStatus::kUnavailable;
    } else if (reply->code != 200) {
      result.status = RefusalStatus(reply->code, LogStatus::kUnavailable);
      if (result.status == LogStatus::kOffsetExpired && !ReadRange(reply->body, result)) {
        result.status = LogStatus::kMalformedResponse;
      }
    } else if (!ReadRecords(reply->body, read, result)) {
      result = LogResult();
      result.request = read.request;
      result.status = LogStatus::kMalformedResponse;
    }
    return result;
  }

 private:
  /// Empty if no complete reply arrived. A reply that is not JSON has a discarded body.
  std::optional<HttpReply> Exchange(std::optional<cxxtools::http::Client>& client,
                                    const cxxtools::http::Request& request) const {
    try {
      if (!client) {
        client.emplace().prepareConnect(address_.host, static_cast<unsigned short>(address_.port));
      }
      const cxxtools::Milliseconds timeout(static_cast<double>(timeout_.count()));
      const auto& header = client->execute(request, timeout, timeout);
      // Without a length cxxtools takes a cut-off reply for a complete one.
      if (!header.hasHeader("Content-Length") || header.contentLength() > kMaxReplyBytes) {
        const unsigned code = header.httpReturnCode();
        client.reset();
        return HttpReply{code, Json(Json::value_t::discarded)};
      }
      const std::string body = client->readBody().body();
      return HttpReply{header.httpReturnCode(), Json::parse(body, nullptr, false)};
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
