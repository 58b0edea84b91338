#ifndef LIMPET_CORE_ERROR_H_
#define LIMPET_CORE_ERROR_H_

#include <stdexcept>
#include <string>

namespace limpet {

/// Base of every exception that the library throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Bytes that do not decode as the expected message.
class DecodeError : public Error {
 public:
  using Error::Error;
};

/// A place in a text file, for errors that an operator has to mend.
struct SourceLocation {
  std::string file;
  /// Counted from 1; 0 when the error belongs to the whole file.
  int line = 0;
};

/// An INI file that does not parse or holds a value that is not allowed. The message reads
/// "file:line: problem; remedy".
class FileError : public Error {
 public:
  FileError(SourceLocation location, const std::string& problem);

  const SourceLocation& location() const { return location_; }

 private:
  SourceLocation location_;
};

}  // namespace limpet

#endif  // LIMPET_CORE_ERROR_H_
