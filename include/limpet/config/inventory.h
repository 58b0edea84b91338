#ifndef LIMPET_CONFIG_INVENTORY_H_
#define LIMPET_CONFIG_INVENTORY_H_

#include <string>
#include <string_view>

#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

/// Parses an operator's inventory from INI text. The sections are
///
///     [inventory]                version: the configuration version that the file is based on
///     [service NAME]             timeout_ms, idempotent_methods, slots, connections
///     [target NAME]              service, data_centre, address
///     [rule NAME]                retry, max_attempts, deadline_ms
///     [route NAME]               path_prefix, service, rule, callers
///
/// All keys are required except `idempotent_methods` (default: none) and `callers` (default: all).
/// The result is valid and sorted by name; its version is 0 without a section [inventory]. Throws
/// `FileError` for the first problem, with the line, the key and how to correct it. `file` is only
/// used in messages.
wire::FullConfig ParseInventory(std::string_view text, const std::string& file);

/// Writes a valid configuration as text that `ParseInventory` reads back to the same configuration.
std::string FormatInventory(const wire::FullConfig& config);

}  // namespace limpet

#endif  // LIMPET_CONFIG_INVENTORY_H_
