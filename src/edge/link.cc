#include "limpet/edge/link.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "limpet/core/error.h"
#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"
#include "limpet/wire/codec.h"

namespace limpet::edge {

namespace {

constexpr std::size_t kPrefixBytes = 8;
/// Read size while the rest of a frame is missing, and otherwise. A node has hundreds of links,
/// most of them idle, and each waits with a buffer of this size.
constexpr std::size_t kReadBytesWithinFrame = std::size_t{16} << 10;
constexpr std::size_t kReadBytes = std::size_t{2} << 10;
/// Larger bodies are sent in chunks of this size. One chunk takes 10 ms on the slowest link
/// (7 Mbit/s), which limits how long a small message waits behind it.
constexpr std::size_t kChunkBytes = kLargeBodyBytes;
/// Size assumed for the Thrift message of a frame, with the headers of a response and the load
/// report.
constexpr std::size_t kSmallMessageBytes = 500;
/// Maximum size of a frame: the largest body that a configuration allows and its message.
constexpr std::size_t kMaxFrameBytes = std::size_t{72} << 20;
/// The kernel closes a link whose peer does not respond for about this long.
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

void PutLength(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

std::size_t GetLength(const char* bytes) {
  std::size_t value = 0;
  for (int i = 0; i < 4; ++i) {
    value = value << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return value;
}

}  // namespace

Link::Link(TcpSocket socket, VmLink vm_link)
    : socket_(std::move(socket)), vm_link_(std::move(vm_link)), last_received_(MonotonicNow()) {
  SetConnectionOptions(socket_, kPeerTimeout);
}

void Link::Start(Handlers handlers) {
  handlers_ = std::make_shared<const Handlers>(std::move(handlers));
  Read();
}

void Link::Send(const wire::LinkMessage& message, std::string body, TimePoint due) {
  if (closed_) {
    return;
  }
  if (!vm_link_.egress) {
    SendFrame(message, std::move(body));
    return;
  }
  if (body.size() <= kChunkBytes) {
    vm_link_.egress->OnSent(body.size() + kSmallMessageBytes);
    SendFrame(message, std::move(body));
    return;
  }
  const int64_t transfer = vm_link_.egress->Add(weak_from_this(), body.size(), due);
  transfers_.emplace(transfer, Transfer{message, std::move(body), 0});
  if (message.__isset.reply) {
    wire::LinkMessage begin;
    begin.chunk.call_id = message.reply.call_id;
    SendChunkFrame(transfer, std::move(begin), false, {});
  }
}

void Link::SendChunkFrame(int64_t transfer,
                          wire::LinkMessage message,
                          bool last,
                          std::string chunk) {
  message.__isset.chunk = true;
  message.chunk.transfer_id = transfer;
  message.chunk.last = last;
  SendFrame(message, std::move(chunk));
}

std::size_t Link::SendChunk(int64_t id) {
  const auto found = transfers_.find(id);
  if (closed_ || found == transfers_.end()) {
    return 0;
  }
  Transfer& transfer = found->second;
  std::string chunk = transfer.body.substr(transfer.sent, kChunkBytes);
  const std::size_t size = chunk.size();
  transfer.sent += size;
  if (transfer.sent < transfer.body.size()) {
    SendChunkFrame(id, {}, false, std::move(chunk));
  } else {
    wire::LinkMessage message = std::move(transfer.message);
    transfers_.erase(found);
    SendChunkFrame(id, std::move(message), true, std::move(chunk));
  }
  return size;
}

void Link::DropReply(int64_t call_id) {
  const auto found = std::ranges::find_if(transfers_, [call_id](const auto& entry) {
    return entry.second.message.__isset.reply && entry.second.message.reply.call_id == call_id;
  });
  if (found == transfers_.end()) {
    return;
  }
  const int64_t transfer = found->first;
  vm_link_.egress->Remove(transfer);
  transfers_.erase(found);
  // Tells the peer to discard the chunks that it has received.
  SendChunkFrame(transfer, {}, true, {});
}

void Link::SendFrame(const wire::LinkMessage& message, std::string body) {
  last_sent_ = MonotonicNow();
  const std::string head = wire::Encode(message);
  std::string frame;
  frame.reserve(kPrefixBytes + head.size());
  if (vm_link_.traffic) {
    vm_link_.traffic->Record(ClassifyFrame(message), remote_,
                             kPrefixBytes + head.size() + body.size());
  }
  PutLength(frame, head.size() + body.size());
  PutLength(frame, head.size());
  frame += head;
  outbox_.push_back(std::move(frame));
  if (!body.empty()) {
    outbox_.push_back(std::move(body));
  }
  if (writing_.empty()) {
    Write();
  }
}

void Link::Write() {
  writing_.swap(outbox_);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const std::string& chunk : writing_) {
    buffers.emplace_back(asio::buffer(chunk));
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                      self->writing_.clear();
                      if (error) {
                        self->Fail(error);
                      } else if (!self->outbox_.empty() && !self->closed_) {
                        self->Write();
                      }
                    });
}

void Link::Read() {
  if (input_start_ > 0) {
    input_.erase(0, input_start_);
    input_start_ = 0;
  }
  const std::size_t filled = input_.size();
  if (filled == 0 && input_.capacity() > kReadBytesWithinFrame) {
    input_.shrink_to_fit();
  }
  const std::size_t read_bytes = filled == 0 ? kReadBytes : kReadBytesWithinFrame;
  input_.resize(filled + read_bytes);
  socket_.async_read_some(asio::buffer(input_.data() + filled, read_bytes),
                          [self = shared_from_this(), filled](ErrorCode error, std::size_t bytes) {
                            self->input_.resize(filled + bytes);
                            if (error) {
                              self->Fail(error);
                            } else if (!RunGuarded("link", [&] { self->OnRead(bytes); })) {
                              self->Fail(asio::error::invalid_argument);
                            }
                          });
}

void Link::OnRead(std::size_t /*bytes*/) {
  last_received_ = MonotonicNow();
  while (!closed_ && ParseFrame()) {
  }
  if (!closed_) {
    Read();
  }
}

bool Link::ParseFrame() {
  const std::size_t available = input_.size() - input_start_;
  if (available < kPrefixBytes) {
    return false;
  }
  const char* start = input_.data() + input_start_;
  const std::size_t total = GetLength(start);
  const std::size_t head = GetLength(start + 4);
  if (total > kMaxFrameBytes || head > total) {
    Fail(asio::error::invalid_argument);
    return false;
  }
  if (available < kPrefixBytes + total) {
    return false;
  }
  wire::LinkMessage message;
  try {
    wire::Decode({start + kPrefixBytes, head}, message);
  } catch (const DecodeError& error) {
    spdlog::warn("[link] closing link: malformed frame: {}", error.what());
    Fail(asio::error::invalid_argument);
    return false;
  }
  std::string body(start + kPrefixBytes + head, total - head);
  input_start_ += kPrefixBytes + total;
  if (message.__isset.chunk && !AddChunk(message, body)) {
    return !closed_;
  }
  const auto handlers = handlers_;
  handlers->on_message(std::move(message), std::move(body));
  return true;
}

bool Link::AddChunk(const wire::LinkMessage& message, std::string& body) {
  if (message.chunk.call_id != 0) {
    const auto handlers = handlers_;
    if (handlers->on_transfer) {
      handlers->on_transfer(message.chunk.call_id);
    }
    return false;
  }
  std::string& received = incoming_bodies_[message.chunk.transfer_id];
  received += body;
  if (received.size() > kMaxFrameBytes) {
    Fail(asio::error::message_size);
    return false;
  }
  if (!message.chunk.last) {
    return false;
  }
  body = std::move(received);
  incoming_bodies_.erase(message.chunk.transfer_id);
  return true;
}

void Link::Fail(ErrorCode error) {
  if (closed_) {
    return;
  }
  const auto handlers = handlers_;
  Close();
  if (handlers && handlers->on_closed) {
    handlers->on_closed(error);
  }
}

void Link::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  ErrorCode ignored;
  socket_.close(ignored);
  outbox_.clear();
  for (const auto& [id, transfer] : transfers_) {
    vm_link_.egress->Remove(id);
  }
  transfers_.clear();
  // The handlers may hold a reference to this link. Reads and writes that complete later check
  // `closed_` first.
  handlers_.reset();
}

}  // namespace limpet::edge
