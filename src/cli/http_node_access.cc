#include "cli/http_node_access.h"

#include <utility>

#include "limpet/net/target_client.h"

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
  HttpRequest request;
  request.method = method;
  const std::size_t query = path.find('?');
  request.path = path.substr(0, query);
  request.query = query == std::string::npos ? "" : path.substr(query + 1);
  try {
    TargetClient client(address_.host, address_.port);
    HttpResponse response = client.Exchange(request, false, timeout_, [] { return false; });
    return {static_cast<unsigned>(response.status), std::move(response.body)};
  } catch (const ExchangeError&) {
    return {};
  }
}

}  // namespace limpet
