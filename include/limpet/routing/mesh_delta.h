#ifndef LIMPET_ROUTING_MESH_DELTA_H_
#define LIMPET_ROUTING_MESH_DELTA_H_

#include "limpet/routing/mesh_config.h"
#include "limpet_types.h"

namespace limpet {

/// The change that turns `from` into `to`. A `from` of version 0 gives the whole configuration.
wire::LinkConfig MakeMeshDelta(const MeshConfig& from, const MeshConfig& to);

/// The configuration after `change`. The caller checks that `config` has the change's base. Throws
/// `DecodeError` for values that no configuration has.
MeshConfig ApplyMeshDelta(const MeshConfig& config, const wire::LinkConfig& change);

}  // namespace limpet

#endif  // LIMPET_ROUTING_MESH_DELTA_H_
