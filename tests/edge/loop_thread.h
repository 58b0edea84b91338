#ifndef LIMPET_TESTS_EDGE_LOOP_THREAD_H_
#define LIMPET_TESTS_EDGE_LOOP_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "limpet/edge/asio.h"
#include "limpet/edge/http_session.h"
#include "limpet/edge/listener.h"

namespace limpet::edge {

/// Runs an event loop on a separate thread.
class LoopThread {
 public:
  LoopThread() : work_(asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  Executor executor() { return context_.get_executor(); }
  /// Runs `function` on the loop and returns its result.
  template <typename Function>
  auto Run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(context_, [&task] { task(); });
    return result.get();
  }
  void Stop() {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  asio::io_context context_;
  asio::executor_work_guard<Executor> work_;
  std::thread thread_;
};

/// HTTP server whose handler runs on the event loop.
class TestServer {
 public:
  TestServer(LoopThread& loop,
             PeerAddress address,
             std::function<void(const HttpSessionPtr&)> handler,
             CallerLimits limits = {},
             const CallerMemoryLimits& memory_limits = {},
             std::size_t max_pipelined = 1)
      : loop_(loop), address_(std::move(address)) {
    options_.memory = std::make_shared<CallerMemory>(memory_limits);
    options_.on_request = std::move(handler);
    options_.limits = [limits] { return limits; };
    options_.is_closing = [this] { return closing_; };
    options_.max_pipelined = max_pipelined;
    loop_.Run([this] {
      listener_ = std::make_unique<Listener>(loop_.executor(), address_, [this](TcpSocket socket) {
        HttpSession::Accept(std::move(socket), options_);
      });
    });
  }

  /// Stops the loop, because connections that are still open use the options of the server.
  ~TestServer() { loop_.Stop(); }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  int port() const { return address_.port; }
  /// Whether the server is stopping; written on the event loop.
  void set_closing(bool closing) { closing_ = closing; }
  /// Used on the event loop only.
  const CallerMemory& memory() const { return *options_.memory; }
  void Close() {
    loop_.Run([this] { listener_.reset(); });
  }

 private:
  LoopThread& loop_;
  PeerAddress address_;
  bool closing_ = false;
  HttpSessionOptions options_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace limpet::edge

#endif  // LIMPET_TESTS_EDGE_LOOP_THREAD_H_
