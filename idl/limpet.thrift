namespace cpp limpet.wire

// Configuration resources. All names are unique within their kind.

struct Service {
  1: string name
  2: i32 timeout_ms
  3: list<string> idempotent_methods
  4: i32 slots
  5: i32 connections
}

struct Target {
  1: string name
  2: string service_name
  3: string data_centre
  4: string address
}

struct Rule {
  1: string name
  2: bool retry_enabled
  3: i32 max_attempts
  4: i32 deadline_ms
}

struct Route {
  1: string name
  2: string path_prefix
  3: string service_name
  4: string rule
  5: list<string> callers
}

struct ConfigDelta {
  1: list<Service> set_services
  2: list<Target> set_targets
  3: list<Rule> set_rules
  4: list<Route> set_routes
  5: list<string> removed_services
  6: list<string> removed_targets
  7: list<string> removed_rules
  8: list<string> removed_routes
}

// One record of the stream "config".
struct ChangeRecord {
  1: string id
  2: i64 base
  3: string author
  4: string comment
  5: ConfigDelta delta
}

// A change accepted by replay; version is the offset of its record.
struct AcceptedChange {
  1: i64 version
  2: ChangeRecord record
}

// A whole configuration and the offset at which replay continues.
struct FullConfig {
  1: i64 version
  2: i64 next_offset
  3: list<Service> services
  4: list<Target> targets
  5: list<Rule> rules
  6: list<Route> routes
}

// Records of the stream "system". The token is the offset of the writer's lease claim.

struct LeaseClaim {
  1: string lease
  2: string holder
  3: i64 incarnation
}

struct Checkpoint {
  1: i64 token
  2: FullConfig config
}

struct VersionCount {
  1: i64 version
  2: i32 nodes
}

struct NodeVersion {
  1: string node
  2: i64 version
}

struct NodeRefusal {
  1: string node
  2: i64 version
  3: string reason
}

struct StatusRecord {
  1: i64 token
  2: string data_centre
  3: i32 members
  4: list<VersionCount> counts
  5: list<NodeVersion> behind
  6: list<NodeRefusal> refusals
}

struct RosterRecord {
  1: i64 token
  2: string data_centre
  3: list<string> nodes
}

struct SystemRecord {
  1: optional LeaseClaim claim
  2: optional Checkpoint checkpoint
  3: optional StatusRecord status
  4: optional RosterRecord roster
}

// Membership.

enum MemberState {
  kAlive = 0
  kSuspect = 1
  kLeft = 2
  kDead = 3
}

enum TargetState {
  kStarting = 0
  kUp = 1
  kDraining = 2
  kDown = 3
}

// Ordered by (incarnation, sequence, state); the greatest wins.
// The incarnation identifies a process start, the sequence an update by that process.
struct MemberRecord {
  1: string name
  2: i64 incarnation
  3: i32 sequence
  4: MemberState state
  5: TargetState target_state
  6: string data_centre
  7: string service_name
  8: string host
  9: i32 port
}

// Ordered by (sequence, reachable); the greatest wins. Only gateways raise the sequence.
struct DataCentreStatus {
  1: string data_centre
  2: bool reachable
  3: i64 sequence
}

struct Ping {
  1: i64 nonce
  2: i64 version
  3: list<MemberRecord> updates
  4: bool ready
}

struct Ack {
  1: i64 nonce
  2: i64 version
  3: list<MemberRecord> updates
  4: bool ready
}

// Asks the receiver to ping a member on behalf of the sender.
struct PingRequest {
  1: i64 nonce
  2: string name
  3: string host
  4: i32 port
}

struct Gossip {
  1: list<MemberRecord> updates
  2: list<DataCentreStatus> data_centres
}

struct JoinRequest {
  1: MemberRecord member
}

// A partial reply names only a few members, which the joining member then asks for the table.
struct JoinReply {
  1: list<MemberRecord> members
  2: i64 version
  3: bool ready
  4: bool partial
}

struct BucketDigest {
  1: list<i64> hashes
  2: bool reply_wanted
}

struct BucketContent {
  1: list<i32> buckets
  2: list<MemberRecord> members
  3: bool reply_wanted
}

// Configuration distribution.

// Also the answer to a DeltaRequest; then the sender's version, replay position in the stream
// "config" and readiness are meaningful even without changes.
struct DeltaPush {
  1: list<AcceptedChange> changes
  2: i64 version
  3: i64 next_offset
  4: bool ready
}

// Asks for the changes after a version, or only for the sender fields of the answer.
struct DeltaRequest {
  1: i64 have
  2: bool version_only
}

struct CheckpointRequest {
  1: i64 have
}

struct CheckpointReply {
  1: FullConfig config
}

struct CheckpointRefusal {
  1: i32 retry_after_ms
}

struct StatusReport {
  1: i64 version
  2: i64 refused_version
  3: string refusal_reason
}

struct Message {
  1: optional Ping ping
  2: optional Ack ack
  3: optional PingRequest ping_request
  4: optional Gossip gossip
  5: optional JoinRequest join_request
  6: optional JoinReply join_reply
  7: optional BucketDigest bucket_digest
  8: optional BucketContent bucket_content
  9: optional DeltaPush delta_push
  10: optional DeltaRequest delta_request
  11: optional CheckpointRequest checkpoint_request
  12: optional CheckpointReply checkpoint_reply
  13: optional CheckpointRefusal checkpoint_refusal
  14: optional StatusReport status_report
}

struct Envelope {
  1: string sender
  2: i64 sender_incarnation
  3: string sender_host
  4: i32 sender_port
  5: Message message
}

// Calls.

enum Outcome {
  kRan = 0
  kNotRun = 1
  kUnknown = 2
}

enum RefusalReason {
  kNone = 0
  kOverloaded = 1
  kQueueTimeout = 2
  kDraining = 3
  kDeadlinePassed = 4
  kDuplicate = 5
  kWrongIncarnation = 6
  kTargetUnavailable = 7
  kNoEndpoint = 8
  kNoRoute = 9
  kCallerShare = 10
  kTruncatedReply = 11
  kTargetTimeout = 12
  kConnectionLost = 13
  kCancelled = 14
  kNotReady = 15
}

struct Header {
  1: string name
  2: string value
}

struct CallRequest {
  1: string attempt_id
  2: string request_id
  3: i64 target_incarnation
  4: string service_name
  5: string method
  6: string path
  7: list<Header> headers
  8: binary body
  9: bool idempotent
  10: i32 deadline_ms
  11: string caller
  12: i32 depth
  13: string traceparent
}

struct LoadReport {
  1: i32 in_flight
  2: i32 limit
  3: i32 queued
  4: i32 service_time_us
}

struct CallReply {
  1: string attempt_id
  2: Outcome outcome
  3: RefusalReason reason
  4: bool already_retried
  5: i32 http_status
  6: list<Header> headers
  7: binary body
  8: LoadReport load
}

service Peer {
  CallReply call(1: CallRequest request)
  oneway void deliver(1: Envelope envelope)
}

// Links between nodes: framed messages on one TCP connection from a calling node to the node beside
// a target. The body of a request or response follows the message in its frame as raw bytes.

// What a node says about the target beside it.
struct TargetStatus {
  1: string instance
  2: string service_name
  3: TargetState state
  4: i32 slots
  // How much longer the target stays slow after its start.
  5: i32 cold_ms
  6: LoadReport load
  // Share of recent requests that failed at the target.
  7: i32 failure_permille
  // Time that a large response waits for the network link of the target's VM, and the time that
  // one KiB takes on it.
  8: i32 egress_wait_us
  9: i32 egress_us_per_kib
  // Time of recent requests at this target in thousandths of what their routes usually take; 0 if
  // there are no recent ones.
  10: i32 slowdown_permille
}

struct NodeAddress {
  1: string name
  2: string data_centre
  3: string host
  4: i32 port
  // Bandwidth of the VM's network link, by which readers of the store are chosen.
  5: i32 link_mbps
}

// First message in each direction of a link.
struct LinkHello {
  1: NodeAddress node
  2: i64 incarnation
  3: i64 config_version
  4: TargetStatus target
  5: list<NodeAddress> known_nodes
}

struct LinkCall {
  // Unique among the calls of one incarnation of the calling node.
  1: i64 call_id
  2: string request_id
  3: string service_name
  // The target instance that the caller selected.
  4: string instance
  5: string method
  6: string path
  7: list<Header> headers
  8: bool idempotent
  9: i32 priority
  // Time left until the caller gives up, and until the response loses its full value.
  10: i32 deadline_ms
  11: i32 latency_target_ms
  // Name of the route, by which the gate learns service times.
  13: string route
  // The gate may queue beyond the latency target.
  12: bool accepts_late
  // Taken only into a free slot, because other targets may have one.
  14: bool free_slot_only
  // Time that requests of the route usually run at a target, over all targets; 0 if unknown.
  15: i32 usual_run_us
  // Expected size of the response; 0 if unknown.
  16: i32 expected_response_bytes
}

struct LinkReply {
  1: i64 call_id
  2: Outcome outcome
  3: RefusalReason reason
  // The request reached the target, which is true of some `kNotRun` outcomes too.
  4: bool reached_target
  5: i32 http_status
  6: list<Header> headers
  // With a refusal for overload: when room is expected.
  7: i32 retry_after_ms
  8: TargetStatus target
  // Time that the request ran at the target; 0 if it did not run.
  9: i32 run_us
}

struct LinkCancel {
  1: i64 call_id
}

// A route of the mesh's configuration; times are in microseconds.
struct MeshRouteRecord {
  1: string name
  2: string host
  3: string path_prefix
  4: i32 kind
  5: i64 timeout_us
  6: i64 target_latency_us
  7: i32 priority
  8: i32 max_attempts
  9: list<string> services
  10: list<i32> weights
}

struct MeshServiceRecord {
  1: string name
  2: string health_path
  3: i32 max_connections
}

struct CallerLimitsRecord {
  1: i64 max_header_bytes
  2: i64 max_body_bytes
  3: i64 header_timeout_us
  4: i64 idle_timeout_us
}

// Changes from one version of the mesh's configuration to a later one. With base 0 it holds the
// whole configuration.
struct LinkConfig {
  1: i64 base
  2: i64 version
  3: list<MeshRouteRecord> set_routes
  4: list<string> removed_routes
  5: list<MeshServiceRecord> set_services
  6: list<string> removed_services
  7: CallerLimitsRecord limits
}

struct LinkConfigRequest {
  1: i64 have
}

struct LinkProbe {
  1: i64 nonce
  2: bool answer
  3: i64 config_version
  // The sender tries to read the store and the store does not answer.
  4: bool store_fails
}

// Marks a part of a body that is sent in several frames, so that small messages can pass between
// them. The last part comes with the message that the body belongs to.
struct LinkChunk {
  1: i64 transfer_id
  2: bool last
  // In the first part, which is empty: the call whose response follows; 0 for other bodies.
  3: i64 call_id
}

struct LinkMessage {
  1: optional LinkHello hello
  2: optional TargetStatus status
  3: optional LinkCall call
  4: optional LinkReply reply
  5: optional LinkCancel cancel
  6: optional LinkConfig config
  7: optional LinkConfigRequest config_request
  8: optional LinkProbe probe
  9: optional LinkChunk chunk
}
