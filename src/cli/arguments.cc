#include "cli/arguments.h"

#include <charconv>

namespace limpet {
namespace {

constexpr int kMaxPort = 65535;

template <typename Number>
bool ParseNumber(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

}  // namespace

PeerAddress ParseAddressOption(const std::string& option, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  PeerAddress address;
  if (colon == std::string::npos || colon == 0 ||
      !ParseNumber(text.substr(colon + 1), address.port) || address.port < 1 ||
      address.port > kMaxPort) {
    throw UsageError(option + " needs HOST:PORT, got \"" + text + "\"");
  }
  address.host = text.substr(0, colon);
  return address;
}

int64_t ParseVersionArgument(const std::string& text) {
  int64_t version = 0;
  if (!ParseNumber(text, version) || version < 0) {
    throw UsageError("a version must be a whole number of at least 0, got \"" + text + "\"");
  }
  return version;
}

void CheckMaxArguments(const std::vector<std::string>& arguments, std::size_t count) {
  if (arguments.size() > count + 1) {
    throw UsageError(arguments[0] + " does not take the argument \"" + arguments[count + 1] + "\"");
  }
}

std::string GetSingleArgument(const std::vector<std::string>& arguments, const std::string& name) {
  if (arguments.size() < 2) {
    throw UsageError(arguments[0] + " needs the argument " + name);
  }
  CheckMaxArguments(arguments, 1);
  return arguments[1];
}

}  // namespace limpet
