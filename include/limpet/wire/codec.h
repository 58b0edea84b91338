#ifndef LIMPET_WIRE_CODEC_H_
#define LIMPET_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "limpet_types.h"

namespace limpet::wire {

/// Largest serialised message that `Decode` accepts, in bytes. Bounds the memory that a malicious
/// length field can make the decoder allocate.
inline constexpr int kMaxMessageBytes = 8 * 1024 * 1024;

/// Serialises the value with Thrift's compact protocol.
std::string Encode(const ChangeRecord& record);
std::string Encode(const SystemRecord& record);
std::string Encode(const FullConfig& config);
std::string Encode(const Envelope& envelope);
std::string Encode(const LinkMessage& message);

/// Decodes the output of `Encode`. Throws `DecodeError` if the message is truncated, malformed or
/// larger than `kMaxMessageBytes`, or if bytes follow it.
void Decode(std::string_view bytes, ChangeRecord& record);
void Decode(std::string_view bytes, SystemRecord& record);
void Decode(std::string_view bytes, FullConfig& config);
void Decode(std::string_view bytes, Envelope& envelope);
void Decode(std::string_view bytes, LinkMessage& message);

}  // namespace limpet::wire

#endif  // LIMPET_WIRE_CODEC_H_
