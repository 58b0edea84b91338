#include "limpet/edge/http_session.h"

#include <utility>

#include "limpet/edge/caller_connection.h"

namespace limpet::edge {

HttpSession::HttpSession(std::shared_ptr<CallerConnection> connection,
                         HttpRequest request,
                         bool keep_alive)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      keep_alive_(keep_alive),
      is_head_(request_.method == "HEAD"),
      is_safe_(is_head_ || request_.method == "GET" || request_.method == "OPTIONS") {}

void HttpSession::Accept(TcpSocket socket, const HttpSessionOptions& options) {
  if (options.memory->MakeRoomForConnection()) {
    std::make_shared<CallerConnection>(std::move(socket), options)->Start();
  }
}

int HttpSession::descriptor() const {
  return connection_->descriptor();
}

void HttpSession::Respond(HttpResponse response) {
  connection_->OnResponse(*this, std::move(response));
}

}  // namespace limpet::edge
