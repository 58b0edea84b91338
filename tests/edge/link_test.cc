#include "limpet/edge/link.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <future>
#include <vector>

#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "net/loopback.h"

namespace limpet::edge {
namespace {

wire::LinkMessage MakeReply(int64_t number) {
  wire::LinkMessage message;
  message.__isset.reply = true;
  message.reply.call_id = number;
  return message;
}

/// Both ends of one link on one event loop; the sending end is paced.
struct Fixture {
  LoopThread loop;
  int port = FreePort();
  LinkPtr sender;
  LinkPtr receiver;
  std::unique_ptr<Listener> listener;
  std::vector<std::pair<int64_t, std::string>> received;
  std::vector<int64_t> transfer_starts;
  std::promise<void> accepted;
  int connections = 0;

  explicit Fixture(double link_mbps = 8) {
    loop.Run([this, link_mbps] {
      listener = std::make_unique<Listener>(
          loop.executor(), PeerAddress{"127.0.0.1", port}, [this](TcpSocket socket) {
            receiver = std::make_shared<Link>(std::move(socket));
            receiver->Start({[this](wire::LinkMessage message, std::string body) {
                               if (message.__isset.reply) {
                                 received.emplace_back(message.reply.call_id, std::move(body));
                               }
                             },
                             [this](ErrorCode) { receiver = nullptr; },
                             [this](int64_t call_id) { transfer_starts.push_back(call_id); }});
            if (++connections == 1) {
              accepted.set_value();
            }
          });
      TcpSocket socket(loop.executor());
      socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
      VmLink vm_link;
      vm_link.egress = std::make_shared<LinkPacer>(loop.executor(), link_mbps);
      sender = std::make_shared<Link>(std::move(socket), std::move(vm_link));
      sender->Start({[](wire::LinkMessage, std::string) {}, [](ErrorCode) {}, nullptr});
    });
    accepted.get_future().get();
  }
  ~Fixture() { loop.Stop(); }
  void Send(int64_t number, std::string body) {
    loop.Run([&] { sender->Send(MakeReply(number), std::move(body)); });
  }
  bool WaitForMessages(std::size_t count) {
    for (int i = 0; i < 500; ++i) {
      if (loop.Run([&] { return received.size() >= count; })) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
};

TEST_CASE_FIXTURE(Fixture, "a small message overtakes a large body that is being sent") {
  const std::string large(200'000, 'x');
  Send(1, large);
  Send(2, "small");
  REQUIRE(WaitForMessages(2));
  loop.Run([&] {
    CHECK(received[0].first == 2);
    CHECK(received[1].first == 1);
    CHECK(received[1].second == large);
  });
}

TEST_CASE_FIXTURE(Fixture, "large bodies are sent at the rate of the VM's network link") {
  const auto start = std::chrono::steady_clock::now();
  Send(1, std::string(200'000, 'x'));
  REQUIRE(WaitForMessages(1));
  // 200 kB at 8 Mbit/s take 0.2 s.
  CHECK(std::chrono::steady_clock::now() - start > std::chrono::milliseconds(150));
}

TEST_CASE_FIXTURE(Fixture,
                  "the peer is told at once that the transfer of a large response has started") {
  Send(7, std::string(200'000, 'x'));
  for (int i = 0; i < 500 && loop.Run([&] { return transfer_starts.empty(); }); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  loop.Run([&] {
    CHECK(received.empty());
    CHECK(transfer_starts == std::vector<int64_t>{7});
  });
}

// Guards against sending the rest of a response that has been cancelled.
TEST_CASE_FIXTURE(Fixture, "a cancelled response does not delay other transfers") {
  const auto start = std::chrono::steady_clock::now();
  Send(1, std::string(2'000'000, 'x'));
  Send(2, std::string(20'000, 'y'));
  loop.Run([&] { sender->DropReply(1); });
  REQUIRE(WaitForMessages(1));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
  loop.Run([&] { CHECK(received.back().second.size() == 20'000); });
}

TEST_CASE_FIXTURE(Fixture, "a malformed frame closes the link") {
  RawClient client(port);
  client.Send(std::string("\x00\x00\x00\x04\x00\x00\x00\x04zzzz", 12));
  CHECK(client.ReadAll().empty());
}

}  // namespace
}  // namespace limpet::edge
