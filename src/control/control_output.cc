#include "limpet/control/control_output.h"

#include <iterator>
#include <utility>

namespace limpet {

void ControlOutput::Append(ControlOutput other) {
  std::move(other.messages.begin(), other.messages.end(), std::back_inserter(messages));
  std::move(other.log_requests.begin(), other.log_requests.end(), std::back_inserter(log_requests));
}

}  // namespace limpet
