#ifndef LIMPET_EDGE_ASIO_H_
#define LIMPET_EDGE_ASIO_H_

// Beast of Debian 12 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include "limpet/core/time.h"

namespace limpet::edge {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Executor = asio::io_context::executor_type;
/// These types use the executor of the node's only event loop directly; the type-erased default
/// executor adds an indirection.
using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         Executor>;

/// Disables the delay of small messages (TCP_NODELAY) and makes the kernel close a connection whose
/// peer does not respond for about `peer_timeout`, also while nothing is being sent.
void SetConnectionOptions(TcpSocket& socket, Duration peer_timeout);

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_ASIO_H_
