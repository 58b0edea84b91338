#include "limpet/net/http_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <istream>
#include <ostream>
#include <thread>
#include <utility>

#include "net/socket_fd.h"

namespace limpet {

namespace {

class BodyTooLarge : public Error {
 public:
  using Error::Error;
};

HttpRequest Convert(const cxxtools::http::Request& from, std::string body) {
  HttpRequest request;
  request.method = from.method();
  request.path = from.url();
  request.query = from.qparams();
  request.body = std::move(body);
  for (const auto& [name, value] : from.header()) {
    wire::Header header;
    header.name = name;
    // The parser of cxxtools keeps the blank after the colon.
    header.value = value + std::strspn(value, " \t");
    request.headers.push_back(std::move(header));
  }
  return request;
}

void Write(const HttpAnswer& answer, std::ostream& out, cxxtools::http::Reply& reply) {
  reply.httpReturn(static_cast<unsigned>(answer.status), std::string(ReasonPhrase(answer.status)));
  for (const auto& header : answer.headers) {
    reply.addHeader(header.name.c_str(), header.value.c_str());
  }
  out << answer.body;
}

class HandlerResponder : public cxxtools::http::Responder {
 public:
  HandlerResponder(cxxtools::http::Service& service,
                   const HttpServer::Handler& handler,
                   size_t max_body_bytes)
      : Responder(service), handler_(handler), max_body_bytes_(max_body_bytes) {}

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& /*in*/,
                    cxxtools::http::Request& request) override {
    fd_ = SocketFd(socket);
    if (request.header().contentLength() > kDiscardFactor * max_body_bytes_) {
      throw BodyTooLarge(TooLargeText());
    }
    is_too_large_ = request.header().contentLength() > max_body_bytes_;
  }

  std::size_t readBody(std::istream& in) override {
    std::array<char, 8192> buffer;
    std::size_t total = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const auto wanted = std::min<std::streamsize>(in.rdbuf()->in_avail(), buffer.size());
      const auto count = in.rdbuf()->sgetn(buffer.data(), wanted);
      total += static_cast<std::size_t>(count);
      if (!is_too_large_) {
        body_.append(buffer.data(), static_cast<size_t>(count));
      }
      if (body_.size() > max_body_bytes_) {
        throw BodyTooLarge(TooLargeText());
      }
    }
    return total;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    if (is_too_large_) {
      Write(MakeNotTakenAnswer(413, TooLargeText()), out, reply);
      return;
    }
    Write(handler_(Convert(request, std::move(body_)), ConnectionWatch(fd_)), out, reply);
    body_.clear();
  }

  void replyError(std::ostream& out,
                  cxxtools::http::Request& /*request*/,
                  cxxtools::http::Reply& reply,
                  const std::exception& error) override {
    reply.setHeader("Connection", "close");
    if (dynamic_cast<const BodyTooLarge*>(&error) != nullptr) {
      Write(MakeNotTakenAnswer(413, error.what()), out, reply);
      return;
    }
    Write(TextAnswer(500, error.what()), out, reply);
  }

 private:
  // A body that is a few times too large is read and dropped: closing the connection while the
  // caller still sends resets it, and the caller never sees the refusal.
  static constexpr size_t kDiscardFactor = 16;

  std::string TooLargeText() const {
    return "request body over " + std::to_string(max_body_bytes_) + " bytes";
  }

  const HttpServer::Handler& handler_;
  size_t max_body_bytes_;
  int fd_ = -1;
  bool is_too_large_ = false;
  std::string body_;
};

class HandlerService : public cxxtools::http::Service {
 public:
  HandlerService(HttpServer::Handler handler, size_t max_body_bytes)
      : handler_(std::move(handler)), max_body_bytes_(max_body_bytes) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override {
    return new HandlerResponder(*this, handler_, max_body_bytes_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  HttpServer::Handler handler_;
  size_t max_body_bytes_;
};

}  // namespace

bool ConnectionWatch::IsClosed() const {
  if (fd_ < 0) {
    return false;
  }
  pollfd entry{fd_, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

HttpAnswer MakeNotTakenAnswer(int status, const std::string& reason) {
  HttpAnswer answer = TextAnswer(status, reason + "\n");
  answer.headers.push_back(MakeHeader(kOutcomeHeader, "not_run"));
  return answer;
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options, Handler handler)
      : service_(std::move(handler), options.max_body_bytes), server_(loop_) {
    server_.minThreads(static_cast<unsigned>(options.min_threads));
    server_.maxThreads(static_cast<unsigned>(options.max_threads));
    server_.addService(cxxtools::Regex(".*"), service_);
    try {
      server_.listen(options.host, static_cast<unsigned short>(options.port));
    } catch (const std::exception& error) {
      throw ListenError("cannot listen on " + options.host + ":" + std::to_string(options.port) +
                        ": " + error.what());
    }
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Impl() { Stop(); }

  void Stop() {
    if (thread_.joinable()) {
      loop_.exit();
      thread_.join();
    }
  }

 private:
  cxxtools::EventLoop loop_;
  HandlerService service_;
  cxxtools::http::Server server_;
  std::thread thread_;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace limpet
