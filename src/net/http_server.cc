#include "limpet/net/http_server.h"

#include <poll.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "limpet/edge/caller_memory_report.h"
#include "limpet/edge/http_session.h"
#include "limpet/edge/listener.h"
#include "net/worker_pool.h"

namespace limpet {

namespace {

/// Callers keep connections open between requests. An idle connection costs a descriptor and a few
/// kilobytes of memory.
constexpr Duration kIdleTimeout = std::chrono::seconds(60);
/// At a stop, responses that are still being written get this many polls to finish.
constexpr int kMaxStopPolls = 200;
constexpr std::chrono::milliseconds kStopPollInterval{5};

/// Duplicate of a descriptor. It stays valid while a handler waits on it, even if the event loop
/// closes the connection in the meantime.
class DuplicateDescriptor {
 public:
  explicit DuplicateDescriptor(int fd) : fd_(::dup(fd)) {}
  ~DuplicateDescriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  DuplicateDescriptor(const DuplicateDescriptor&) = delete;
  DuplicateDescriptor& operator=(const DuplicateDescriptor&) = delete;
  int fd() const { return fd_; }

 private:
  int fd_;
};

}  // namespace

bool ConnectionWatch::IsClosed() const {
  if (fd_ < 0) {
    return false;
  }
  pollfd entry{fd_, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

HttpResponse MakeNotAcceptedResponse(int status, const std::string& reason) {
  HttpResponse response = TextResponse(status, reason + "\n");
  response.headers.push_back(MakeHeader(kOutcomeHeader, "not_run"));
  return response;
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options, Handler handler)
      : handler_(std::move(handler)),
        work_(edge::asio::make_work_guard(context_)),
        workers_(options.max_threads) {
    CallerLimits limits;
    limits.max_body_bytes = options.max_body_bytes;
    limits.max_header_bytes = options.max_header_bytes;
    limits.idle_timeout = kIdleTimeout;
    sessions_.on_request = [this](const edge::HttpSessionPtr& session) { OnRequest(session); };
    sessions_.limits = [limits] { return limits; };
    sessions_.is_closing = [this] { return stopping_; };
    sessions_.make_refusal = MakeNotAcceptedResponse;
    sessions_.memory = std::make_shared<edge::CallerMemory>(options.memory);
    memory_report_ =
        std::make_unique<edge::CallerMemoryReport>(context_.get_executor(), sessions_.memory);
    listener_ = std::make_unique<edge::Listener>(
        context_.get_executor(), PeerAddress{options.host, options.port},
        [this](edge::TcpSocket socket) {
          edge::HttpSession::Accept(std::move(socket), sessions_);
        });
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Impl() { Stop(); }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    edge::asio::post(context_, [this] {
      stopping_ = true;
      listener_.reset();
    });
    workers_.Stop();
    WaitForResponses(kMaxStopPolls);
    thread_.join();
  }

 private:
  void OnRequest(const edge::HttpSessionPtr& session) {
    auto descriptor = std::make_shared<DuplicateDescriptor>(session->descriptor());
    workers_.Post([this, session = edge::HttpSessionPtr(session),
                   descriptor = std::move(descriptor)]() mutable {
      HttpResponse response = MakeResponse(session->request(), ConnectionWatch(descriptor->fd()));
      // Moved, because only the thread of the event loop may destroy a session.
      edge::asio::post(context_,
                       [session = std::move(session), response = std::move(response)]() mutable {
                         session->Respond(std::move(response));
                       });
    });
  }

  HttpResponse MakeResponse(const HttpRequest& request, const ConnectionWatch& watch) {
    try {
      return handler_(request, watch);
    } catch (const std::exception& error) {
      spdlog::error("[http] handler for {} {} failed: {}", request.method, request.path,
                    error.what());
      return TextResponse(500, "internal failure\n");
    }
  }

  /// Stops the event loop once all responses are written or no polls remain.
  void WaitForResponses(int remaining_polls) {
    edge::asio::post(context_, [this, remaining_polls] {
      if (remaining_polls == 0 || *sessions_.pending_requests == 0) {
        context_.stop();
        return;
      }
      std::this_thread::sleep_for(kStopPollInterval);
      WaitForResponses(remaining_polls - 1);
    });
  }

  Handler handler_;
  // Must outlive the event loop, because sessions refer to these options.
  edge::HttpSessionOptions sessions_;
  edge::asio::io_context context_;
  edge::asio::executor_work_guard<edge::Executor> work_;
  std::unique_ptr<edge::CallerMemoryReport> memory_report_;
  std::unique_ptr<edge::Listener> listener_;
  bool stopping_ = false;
  std::thread thread_;
  // Last, so that the workers end before any other member is destroyed.
  WorkerPool workers_;
};

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace limpet
