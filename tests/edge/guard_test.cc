#include "limpet/edge/guard.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "limpet/edge/link.h"
#include "net/loopback.h"

namespace limpet::edge {
namespace {

// Guards against a process that ends because of one message.
TEST_CASE("the event loop continues after a handler has thrown") {
  asio::io_context context;
  const int64_t before = UnexpectedErrors();
  int handled = 0;
  asio::post(context, [] { throw std::runtime_error("unexpected"); });
  asio::post(context, [&handled] { ++handled; });
  asio::post(context, [] { throw std::out_of_range("unexpected again"); });
  asio::post(context, [&handled] { ++handled; });
  RunEventLoop(context);
  CHECK(handled == 2);
  CHECK(UnexpectedErrors() == before + 2);
}

TEST_CASE("an unexpected error while a request is handled closes only its connection") {
  LoopThread loop;
  TestServer server(loop, {"127.0.0.1", FreePort()}, [](const HttpSessionPtr& session) {
    if (session->request().target == "/odd") {
      throw std::runtime_error("unexpected");
    }
    session->Respond(TextResponse(200, "ok"));
  });
  RawClient other(server.port());
  other.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(other.ReadResponse().starts_with("HTTP/1.1 200"));
  RawClient client(server.port());
  client.Send("GET /odd HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(client.ReadAll().empty());
  other.Send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(other.ReadResponse().starts_with("HTTP/1.1 200"));
}

TEST_CASE("an unexpected error while a message of a link is handled closes only the link") {
  LoopThread loop;
  const int port = FreePort();
  LinkPtr receiver;
  std::promise<void> closed;
  std::unique_ptr<Listener> listener;
  LinkPtr sender;
  loop.Run([&] {
    listener = std::make_unique<Listener>(
        loop.executor(), PeerAddress{"127.0.0.1", port}, [&](TcpSocket socket) {
          receiver = std::make_shared<Link>(std::move(socket));
          receiver->Start({[](wire::LinkMessage, std::string) -> void {
                             throw std::runtime_error("unexpected");
                           },
                           [&closed](ErrorCode) { closed.set_value(); }, nullptr});
        });
    TcpSocket socket(loop.executor());
    socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
    sender = std::make_shared<Link>(std::move(socket));
    sender->Start({[](wire::LinkMessage, std::string) {}, [](ErrorCode) {}, nullptr});
    sender->Send({});
  });
  CHECK(closed.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  CHECK(loop.Run([] { return 1; }) == 1);
  loop.Stop();
}

}  // namespace
}  // namespace limpet::edge
