#include "limpet/wire/codec.h"

#include <memory>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "limpet/core/error.h"

namespace limpet::wire {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <typename T>
std::string EncodeValue(const T& value) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename T>
void DecodeValue(std::string_view bytes, T& value) {
  if (bytes.size() > static_cast<std::size_t>(kMaxMessageBytes)) {
    throw DecodeError("message of " + std::to_string(bytes.size()) +
                      " bytes exceeds the limit of " + std::to_string(kMaxMessageBytes));
  }
  const auto configuration = std::make_shared<TConfiguration>(kMaxMessageBytes);
  // With OBSERVE the buffer does not write to the bytes, but Thrift takes a non-const pointer.
  const auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())),
      static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int32_t>(bytes.size()),
                                            static_cast<int32_t>(bytes.size()));
  try {
    value.read(&protocol);
  } catch (const TException& error) {
    throw DecodeError(std::string("malformed message: ") + error.what());
  } catch (const std::bad_alloc&) {
    throw DecodeError("malformed message: length field too large");
  }
  if (buffer->available_read() > 0) {
    throw DecodeError("malformed message: " + std::to_string(buffer->available_read()) +
                      " bytes follow the message");
  }
}

}  // namespace

std::string Encode(const ChangeRecord& record) {
  return EncodeValue(record);
}
std::string Encode(const SystemRecord& record) {
  return EncodeValue(record);
}
std::string Encode(const FullConfig& config) {
  return EncodeValue(config);
}
std::string Encode(const Envelope& envelope) {
  return EncodeValue(envelope);
}
std::string Encode(const LinkMessage& message) {
  return EncodeValue(message);
}

void Decode(std::string_view bytes, ChangeRecord& record) {
  DecodeValue(bytes, record);
}
void Decode(std::string_view bytes, SystemRecord& record) {
  DecodeValue(bytes, record);
}
void Decode(std::string_view bytes, FullConfig& config) {
  DecodeValue(bytes, config);
}
void Decode(std::string_view bytes, Envelope& envelope) {
  DecodeValue(bytes, envelope);
}
void Decode(std::string_view bytes, LinkMessage& message) {
  DecodeValue(bytes, message);
}

}  // namespace limpet::wire
