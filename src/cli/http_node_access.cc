#include "cli/http_node_access.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <chrono>
#include <exception>
#include <utility>

namespace limpet {

HttpNodeAccess::HttpNodeAccess(PeerAddress address, Duration timeout)
    : address_(std::move(address)), timeout_(timeout) {}

NodeResponse HttpNodeAccess::Get(const std::string& path) {
  return Exchange("GET", path);
}

NodeResponse HttpNodeAccess::Post(const std::string& path) {
  return Exchange("POST", path);
}

NodeResponse HttpNodeAccess::Exchange(const std::string& method, const std::string& path) const {
  try {
    const cxxtools::Milliseconds timeout(
        std::chrono::duration<double, std::milli>(timeout_).count());
    cxxtools::http::Client client(address_.host, static_cast<unsigned short>(address_.port));
    cxxtools::http::Request request(path);
    request.method(method);
    const auto& header = client.execute(request, timeout, timeout);
    // Without a length, cxxtools would return a truncated response as a complete one.
    if (!header.hasHeader("Content-Length") && !header.chunkedTransferEncoding()) {
      return {};
    }
    const unsigned code = header.httpReturnCode();
    return {code, client.readBody().body()};
  } catch (const std::exception&) {
    return {};
  }
}

}  // namespace limpet
