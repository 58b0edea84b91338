#ifndef LIMPET_CORE_ERROR_H_
#define LIMPET_CORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace limpet {

/// Base class of the exceptions that the library throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Thrown for bytes that cannot be decoded as the expected message.
class DecodeError : public Error {
 public:
  using Error::Error;
};

/// Position in a text file, for errors in files that an operator edits.
struct SourceLocation {
  std::string file;
  /// The first line is 1; 0 means that the error concerns the whole file.
  int line = 0;
};

/// Thrown for an INI file that cannot be parsed or has a value that is not allowed. The message has
/// the form "file:line: problem; remedy".
class FileError : public Error {
 public:
  FileError(SourceLocation location, const std::string& problem);

  const SourceLocation& location() const { return location_; }

 private:
  SourceLocation location_;
};

}  // namespace limpet

#endif  // LIMPET_CORE_ERROR_H_
