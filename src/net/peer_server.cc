#include "limpet/net/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TSocket.h>

#include <future>
#include <mutex>
#include <thread>
#include <utility>

#include "Peer.h"

namespace limpet {

namespace {

using apache::thrift::TConnectionInfo;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TSocket;

class ConnectionHandler : public wire::PeerIf {
 public:
  ConnectionHandler(PeerHandler& handler, int fd) : handler_(handler), watch_(fd) {}

  void call(wire::CallReply& reply, const wire::CallRequest& request) override {
    reply = handler_.OnCall(request, watch_);
  }
  void deliver(const wire::Envelope& envelope) override { handler_.OnDeliver(envelope); }

 private:
  PeerHandler& handler_;
  ConnectionWatch watch_;
};

class ConnectionHandlerFactory : public wire::PeerIfFactory {
 public:
  explicit ConnectionHandlerFactory(PeerHandler& handler) : handler_(handler) {}

  wire::PeerIf* getHandler(const TConnectionInfo& info) override {
    const auto socket = std::dynamic_pointer_cast<TSocket>(info.transport);
    return new ConnectionHandler(handler_, socket == nullptr ? -1 : socket->getSocketFD());
  }
  void releaseHandler(wire::PeerIf* handler) override { delete handler; }

 private:
  PeerHandler& handler_;
};

/// Lets the constructor wait until the server listens. Thrift calls preServe() right after
/// listen().
class ListenSignal : public apache::thrift::server::TServerEventHandler {
 public:
  void preServe() override { listening_.set_value(); }
  void Fail(const std::string& message) {
    listening_.set_exception(std::make_exception_ptr(ListenError(message)));
  }
  /// Throws `ListenError` if the server cannot listen.
  void Wait() { listening_.get_future().get(); }

 private:
  std::promise<void> listening_;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(const PeerServerOptions& options, PeerHandler& handler)
      : server_(std::make_shared<wire::PeerProcessorFactory>(
                    std::make_shared<ConnectionHandlerFactory>(handler)),
                std::make_shared<TServerSocket>(options.host, options.port),
                std::make_shared<apache::thrift::transport::TFramedTransportFactory>(),
                std::make_shared<apache::thrift::protocol::TCompactProtocolFactory>()),
        signal_(std::make_shared<ListenSignal>()) {
    server_.setConcurrentClientLimit(options.max_connections);
    server_.setServerEventHandler(signal_);
    thread_ = std::thread([this, options] { Serve(options); });
    try {
      signal_->Wait();
    } catch (...) {
      thread_.join();
      throw;
    }
  }

  ~Impl() { Stop(); }

  void Stop() {
    if (thread_.joinable()) {
      server_.stop();
      thread_.join();
    }
  }

  int64_t connections() const { return server_.getConcurrentClientCount(); }

 private:
  void Serve(const PeerServerOptions& options) {
    try {
      server_.serve();
    } catch (const std::exception& error) {
      signal_->Fail("cannot listen on " + options.host + ":" + std::to_string(options.port) + ": " +
                    error.what());
    }
  }

  TThreadedServer server_;
  std::shared_ptr<ListenSignal> signal_;
  std::thread thread_;
};

PeerServer::PeerServer(const PeerServerOptions& options, PeerHandler& handler)
    : impl_(std::make_unique<Impl>(options, handler)) {}

PeerServer::~PeerServer() = default;

void PeerServer::Stop() {
  impl_->Stop();
}

int64_t PeerServer::connections() const {
  return impl_->connections();
}

}  // namespace limpet
