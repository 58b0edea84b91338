#ifndef LIMPET_TESTS_EDGE_HOLDING_RELAY_H_
#define LIMPET_TESTS_EDGE_HOLDING_RELAY_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "limpet/edge/asio.h"
#include "limpet/edge/listener.h"
#include "net/loopback.h"

namespace limpet::edge {

/// Relays connections to a server on the event loop of the test. It can hold the bytes of a
/// connection and its end for any time and deliver them later, as a network does that is cut off
/// for a while; the other direction and other connections go on.
class HoldingRelay {
 public:
  /// One relayed connection.
  class Connection : public std::enable_shared_from_this<Connection> {
   public:
    Connection(TcpSocket client, TcpSocket server)
        : client_(std::move(client)), server_(std::move(server)) {}

    void Start() {
      client_.set_option(asio::ip::tcp::no_delay(true));
      server_.set_option(asio::ip::tcp::no_delay(true));
      Read(client_, to_server_);
      Read(server_, to_client_);
    }
    void Release() {
      hold_to_server = false;
      hold_to_client = false;
      hold_after_first_bytes = false;
      Flush(to_server_);
      Flush(to_client_);
    }

    bool hold_to_server = false;
    bool hold_to_client = false;
    bool hold_after_first_bytes = false;

   private:
    struct Direction {
      TcpSocket& destination;
      const bool& hold;
      std::string held;
      bool ended = false;
      std::array<char, 65536> buffer{};
    };

    void Read(TcpSocket& source, Direction& direction) {
      source.async_read_some(
          asio::buffer(direction.buffer),
          [self = shared_from_this(), &source, &direction](ErrorCode error, std::size_t bytes) {
            direction.held.append(direction.buffer.data(), bytes);
            direction.ended = bool{error};
            self->Flush(direction);
            if (&source == &self->client_ && self->hold_after_first_bytes) {
              self->hold_to_server = true;
            }
            if (!error) {
              self->Read(source, direction);
            }
          });
    }
    static void Flush(Direction& direction) {
      if (direction.hold) {
        return;
      }
      // Tests send less than the socket's buffer holds, so this does not block for long.
      ErrorCode ignored;
      asio::write(direction.destination, asio::buffer(direction.held), ignored);
      direction.held.clear();
      if (direction.ended) {
        direction.destination.shutdown(asio::socket_base::shutdown_send, ignored);
      }
    }

    TcpSocket client_;
    TcpSocket server_;
    Direction to_server_{server_, hold_to_server, {}};
    Direction to_client_{client_, hold_to_client, {}};
  };

  HoldingRelay(const Executor& executor, int server_port)
      : executor_(executor),
        server_port_(server_port),
        listeners_{MakeListener(ports_[0]), MakeListener(ports_[1])} {}

  /// Relayed connections, numbered from 0 in the order in which they were opened.
  Connection& newest() { return *connections_.back(); }
  std::size_t size() const { return connections_.size(); }
  /// Delivers all that a connection holds, and goes on without holding.
  void Release(std::size_t connection) { connections_.at(connection)->Release(); }
  /// Two ports of the same relay, so that a client can be given another address of the server.
  const std::array<int, 2>& ports() const { return ports_; }

  /// New connections hold what their client sends.
  bool hold_new_links = false;
  /// New connections hold what their client sends after its first bytes.
  bool hold_after_handshake = false;

 private:
  std::unique_ptr<Listener> MakeListener(int port) {
    return std::make_unique<Listener>(executor_, PeerAddress{"127.0.0.1", port},
                                      [this](TcpSocket client) { Accept(std::move(client)); });
  }
  void Accept(TcpSocket client) {
    TcpSocket server(executor_);
    ErrorCode error;
    server.connect({asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(server_port_)},
                   error);
    if (error) {
      return;
    }
    connections_.push_back(std::make_shared<Connection>(std::move(client), std::move(server)));
    connections_.back()->hold_to_server = hold_new_links;
    connections_.back()->hold_after_first_bytes = hold_after_handshake;
    connections_.back()->Start();
  }

  Executor executor_;
  int server_port_;
  std::array<int, 2> ports_{FreePort(), FreePort()};
  std::vector<std::shared_ptr<Connection>> connections_;
  std::array<std::unique_ptr<Listener>, 2> listeners_;
};

}  // namespace limpet::edge

#endif  // LIMPET_TESTS_EDGE_HOLDING_RELAY_H_
