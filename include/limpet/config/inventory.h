#ifndef LIMPET_CONFIG_INVENTORY_H_
#define LIMPET_CONFIG_INVENTORY_H_

#include <string>
#include <string_view>

#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

/// Reads an operator's inventory from INI text. The sections are
///
///     [inventory]                version: the version that the file was edited from
///     [service NAME]             timeout_ms, idempotent_methods, slots, connections
///     [target NAME]              service, data_centre, address
///     [rule NAME]                retry, max_attempts, deadline_ms
///     [route NAME]               path_prefix, service, rule, callers
///
/// All keys are required but `idempotent_methods` (default: none) and `callers` (default: all). The
/// result is valid and sorted by name; its version is 0 without a section [inventory]. Throws
/// `FileError` for the first problem, with its line, the key and the remedy. `file` appears in
/// messages only.
wire::FullConfig ParseInventory(std::string_view text, const std::string& file);

/// Reverse of `ParseInventory` for a valid configuration.
std::string FormatInventory(const wire::FullConfig& config);

}  // namespace limpet

#endif  // LIMPET_CONFIG_INVENTORY_H_
