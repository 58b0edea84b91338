#include "standin/log_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>

#include <charconv>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <thread>

#include "limpet/net/clock.h"
#include "net/base64.h"
#include "net/tcp_socket.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kStreamPrefix = "/streams/";
constexpr std::string_view kStreamSuffix = "/records";

struct Response {
  unsigned code = 200;
  Json body;
  bool lost = false;
};

Response ErrorResponse(unsigned code, const std::string& text) {
  return {code, {{"error", text}}};
}

unsigned HttpCode(LogStatus status) {
  switch (status) {
    case LogStatus::kOk:
      return 200;
    case LogStatus::kOffsetExpired:
      return 410;
    case LogStatus::kTooLarge:
      return 413;
    case LogStatus::kThrottled:
      return 429;
    default:
      return 503;
  }
}

template <typename Integer>
std::optional<Integer> ParseInteger(const std::string& text) {
  Integer value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

std::string StreamName(const std::string& url) {
  const std::string_view view = url;
  if (!view.starts_with(kStreamPrefix) || !view.ends_with(kStreamSuffix) ||
      view.size() <= kStreamPrefix.size() + kStreamSuffix.size()) {
    return "";
  }
  return std::string(
      view.substr(kStreamPrefix.size(), view.size() - kStreamPrefix.size() - kStreamSuffix.size()));
}

/// Serves HTTP requests from a log that is guarded by a mutex.
class Handler {
 public:
  explicit Handler(StandinLogLimits limits) : log_(limits) {}

  Response Handle(const cxxtools::http::Request& request) {
    const std::string& url = request.url();
    const std::string& method = request.method();
    if (url == "/stats" && method == "GET") {
      return HandleStats();
    }
    if (url == "/faults" && method == "POST") {
      return SetFaults(Json::parse(request.bodyStr(), nullptr, false));
    }
    const std::string stream = StreamName(url);
    if (!stream.empty() && (method == "GET" || method == "POST")) {
      std::this_thread::sleep_for(Delay());
      return method == "POST" ? Append(stream, request) : Read(stream, request);
    }
    return ErrorResponse(404, "no such resource");
  }

 private:
  Response Append(const std::string& stream, const cxxtools::http::Request& request) {
    const Json body = Json::parse(request.bodyStr(), nullptr, false);
    if (!body.is_object() || !body.contains("payload") || !body["payload"].is_string()) {
      return ErrorResponse(400, "expected {\"payload\": BASE64}");
    }
    const auto payload = DecodeBase64(body["payload"].get<std::string>());
    if (!payload) {
      return ErrorResponse(400, "payload is not base64");
    }
    const std::lock_guard lock(mutex_);
    const LogResult result = log_.Append(MonotonicNow(), {0, stream, *payload});
    if (result.status != LogStatus::kOk) {
      return ErrorResponse(HttpCode(result.status), "not appended");
    }
    return {200, {{"offset", result.offset}}, log_.ConsumeLostResponse()};
  }

  Response Read(const std::string& stream, const cxxtools::http::Request& request) {
    const cxxtools::QueryParams params(request.qparams());
    const auto from = ParseInteger<int64_t>(params.param("from"));
    const auto max = ParseInteger<int>(params.param("max"));
    if (!from || !max || *from < 1 || *max < 1) {
      return ErrorResponse(400, "expected from=N and max=N, both at least 1");
    }
    const std::lock_guard lock(mutex_);
    const LogResult result = log_.Read({0, stream, *from, *max});
    Json body = {{"first_offset", result.first_offset}, {"end_offset", result.end_offset}};
    body["records"] = Json::array();
    for (const LogRecord& record : result.records) {
      body["records"].push_back(
          {{"offset", record.offset}, {"payload", EncodeBase64(record.payload)}});
    }
    return {HttpCode(result.status), std::move(body)};
  }

  Response HandleStats() {
    const std::lock_guard lock(mutex_);
    const StandinLogCounts& counts = log_.counts();
    return {200,
            {{"appends", counts.appends},
             {"append_bytes", counts.append_bytes},
             {"reads", counts.reads},
             {"read_bytes", counts.read_bytes}}};
  }

  Response SetFaults(const Json& body) {
    if (!body.is_object()) {
      return ErrorResponse(400, "expected a JSON object");
    }
    const std::lock_guard lock(mutex_);
    StandinLogFaults faults = log_.faults;
    for (const auto& [key, value] : body.items()) {
      if (key == "outage" && value.is_boolean()) {
        faults.outage = value.get<bool>();
      } else if (key == "delay_ms" && value.is_number_unsigned()) {
        faults.delay_ms = value.get<int>();
      } else if (key == "lose_answers" && value.is_number_integer()) {
        faults.lose_responses = value.get<int>();
      } else {
        return ErrorResponse(400, "unknown key or wrong type: " + key);
      }
    }
    log_.faults = faults;
    return {200,
            {{"outage", faults.outage},
             {"delay_ms", faults.delay_ms},
             {"lose_answers", faults.lose_responses}}};
  }

  std::chrono::milliseconds Delay() {
    const std::lock_guard lock(mutex_);
    return std::chrono::milliseconds(log_.faults.delay_ms);
  }

  std::mutex mutex_;
  StandinLog log_;
};

class LogResponder : public cxxtools::http::Responder {
 public:
  LogResponder(cxxtools::http::Service& service, Handler& handler)
      : Responder(service), handler_(handler) {}

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override {
    socket_ = &socket;
    Responder::beginRequest(socket, in, request);
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const Response response = handler_.Handle(request);
    if (response.lost) {
      ShutDownSocket(*socket_);
      return;
    }
    reply.httpReturn(response.code, response.code == 200 ? "OK" : "Refused");
    reply.setHeader("Content-Type", "application/json");
    out << response.body.dump();
  }

 private:
  Handler& handler_;
  cxxtools::net::TcpSocket* socket_ = nullptr;
};

class LogService : public cxxtools::http::Service {
 public:
  explicit LogService(Handler& handler) : handler_(handler) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override {
    return new LogResponder(*this, handler_);
  }

  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  Handler& handler_;
};

}  // namespace

class StandinLogServer::Impl {
 public:
  Impl(const std::string& host, int port, StandinLogLimits limits)
      : handler_(limits),
        service_(handler_),
        server_(loop_, host, static_cast<unsigned short>(port)) {
    server_.addService(cxxtools::Regex(".*"), service_);
  }

  void Run() { loop_.run(); }
  void Stop() { loop_.exit(); }

 private:
  Handler handler_;
  LogService service_;
  cxxtools::EventLoop loop_;
  cxxtools::http::Server server_;
};

StandinLogServer::StandinLogServer(const std::string& host, int port, StandinLogLimits limits)
    : impl_(std::make_unique<Impl>(host, port, limits)) {}

StandinLogServer::~StandinLogServer() = default;

void StandinLogServer::Run() {
  impl_->Run();
}

void StandinLogServer::Stop() {
  impl_->Stop();
}

}  // namespace limpet
