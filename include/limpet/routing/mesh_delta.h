#ifndef LIMPET_ROUTING_MESH_DELTA_H_
#define LIMPET_ROUTING_MESH_DELTA_H_

#include "limpet/routing/mesh_config.h"
#include "limpet_types.h"

namespace limpet {

/// Returns the change that turns `from` into `to`. If `from` is the empty configuration (version
/// 0), the change contains all of `to`.
wire::LinkConfig MakeMeshDelta(const MeshConfig& from, const MeshConfig& to);

/// Returns the configuration after `change`. The caller must check that `config` is the base of the
/// change. Throws `DecodeError` for a route with an unknown kind or with different numbers of
/// services and weights.
MeshConfig ApplyMeshDelta(const MeshConfig& config, const wire::LinkConfig& change);

}  // namespace limpet

#endif  // LIMPET_ROUTING_MESH_DELTA_H_
