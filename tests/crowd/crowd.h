#ifndef LIMPET_TESTS_CROWD_CROWD_H_
#define LIMPET_TESTS_CROWD_CROWD_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace limpet {

/// Many clients that each send the same bytes and read only when told to.
class Crowd {
 public:
  /// `receive_buffer_bytes` is the size of the clients' receive buffers; 0: the kernel's default.
  Crowd(int port, int clients, std::string bytes, int receive_buffer_bytes)
      : bytes_(std::move(bytes)) {
    for (int i = 0; i < clients; ++i) {
      Client client{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
      if (receive_buffer_bytes > 0) {
        ::setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
      }
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      address.sin_port = htons(static_cast<uint16_t>(port));
      client.open =
          ::connect(client.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
      ::fcntl(client.fd, F_SETFL, O_NONBLOCK);
      clients_.push_back(client);
    }
  }
  ~Crowd() {
    for (const Client& client : clients_) {
      ::close(client.fd);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends until all bytes are sent or no socket accepts any for a second.
  void SendAll() {
    constexpr int kMaxIdleRounds = 20;
    for (int idle_rounds = 0; idle_rounds < kMaxIdleRounds; ++idle_rounds) {
      std::vector<pollfd> waiting;
      for (Client& client : clients_) {
        if (SendSome(client)) {
          idle_rounds = 0;
        }
        if (client.open && client.sent < bytes_.size()) {
          waiting.push_back({client.fd, POLLOUT, 0});
        }
      }
      if (waiting.empty()) {
        return;
      }
      ::poll(waiting.data(), waiting.size(), 50);
    }
  }
  /// Reads at most `max_bytes` at each client.
  void ReadSome(std::size_t max_bytes) {
    std::string buffer(max_bytes, '\0');
    for (const Client& client : clients_) {
      ::recv(client.fd, buffer.data(), buffer.size(), 0);
    }
  }

 private:
  struct Client {
    int fd;
    bool open = false;
    std::size_t sent = 0;
  };

  bool SendSome(Client& client) {
    if (!client.open || client.sent == bytes_.size()) {
      return false;
    }
    const ssize_t count =
        ::send(client.fd, bytes_.data() + client.sent, bytes_.size() - client.sent, MSG_NOSIGNAL);
    if (count < 0) {
      client.open = errno == EAGAIN || errno == EINTR;
      return false;
    }
    client.sent += static_cast<std::size_t>(count);
    return count > 0;
  }

  std::string bytes_;
  std::vector<Client> clients_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_CROWD_CROWD_H_
