#include "limpet/core/error.h"

#include <utility>

namespace limpet {

FileError::FileError(SourceLocation location, const std::string& problem)
    : Error(location.file + ":" + std::to_string(location.line) + ": " + problem),
      location_(std::move(location)) {}

}  // namespace limpet
