#include <doctest/doctest.h>

#include <string>

#include "limpet/core/error.h"
#include "limpet/core/random.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

wire::ChangeRecord MakeRecord() {
  wire::Service service;
  service.name = "ticket-desk";
  service.idempotent_methods = {"GET"};
  wire::ChangeRecord record;
  record.id = "0123";
  record.base = 7;
  record.delta.set_services = {service};
  return record;
}

TEST_CASE("a decoded record equals the encoded one") {
  wire::ChangeRecord decoded;
  wire::Decode(wire::Encode(MakeRecord()), decoded);
  CHECK(decoded == MakeRecord());
}

TEST_CASE("decoding throws DecodeError for a record truncated at any byte") {
  const std::string bytes = wire::Encode(MakeRecord());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    wire::ChangeRecord decoded;
    CHECK_THROWS_AS(wire::Decode(std::string_view(bytes).substr(0, size), decoded), DecodeError);
  }
}

TEST_CASE("decoding throws DecodeError if bytes follow the record") {
  wire::ChangeRecord decoded;
  CHECK_THROWS_AS(wire::Decode(wire::Encode(MakeRecord()) + "x", decoded), DecodeError);
}

TEST_CASE("decoding random bytes succeeds or throws DecodeError") {
  Random random(1);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(random.NextBelow(64), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.NextBelow(256));
    }
    wire::Envelope envelope;
    try {
      wire::Decode(bytes, envelope);
    } catch (const DecodeError&) {
    }
  }
}

}  // namespace
}  // namespace limpet
