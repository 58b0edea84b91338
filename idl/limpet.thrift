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

// A change that replay of the log accepted; its version is the offset of its record.
struct AcceptedChange {
  1: i64 version
  2: ChangeRecord record
}

// A complete configuration, and the offset in the stream "config" at which replay continues.
struct FullConfig {
  1: i64 version
  2: i64 next_offset
  3: list<Service> services
  4: list<Target> targets
  5: list<Rule> rules
  6: list<Route> routes
}

// Records of the stream "system". `token` is the fencing token: the offset of the lease claim of the writer.

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

// Records of a member are ordered by (incarnation, sequence, state); the greatest replaces the others.
// `incarnation` identifies a start of the process, `sequence` an update by that process.
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

// Ordered by (sequence, reachable); the greatest replaces the others. Only gateways increment `sequence`.
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

// Requests that the receiver ping a member on behalf of the sender.
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

// A partial reply holds only a few members, from which the joining node then requests the whole table.
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

// Pushed on a change, and sent as the reply to a DeltaRequest. In a reply, the sender's version, replay
// position in the stream "config" and readiness are valid even if `changes` is empty.
struct DeltaPush {
  1: list<AcceptedChange> changes
  2: i64 version
  3: i64 next_offset
  4: bool ready
}

// Requests the changes after the version `have`, or with `version_only` just the sender's state.
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

// Calls between nodes.

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

// Links between nodes: framed messages on one TCP connection from a calling node to the node of a
// target. The body of a request or response follows the message in its frame as raw bytes.

// State of a target, as reported by its node.
struct TargetStatus {
  1: string instance
  2: string service_name
  3: TargetState state
  4: i32 slots
  // Remaining time of the slow phase after the start of the target.
  5: i32 cold_ms
  6: LoadReport load
  // Share of recent requests that failed at the target, in thousandths.
  7: i32 failure_permille
  // Queueing delay of a large response at the network link of the target's VM, and transmission time
  // of one KiB on it.
  8: i32 egress_wait_us
  9: i32 egress_us_per_kib
  // Service time of recent requests at this target in thousandths of the typical service time of their
  // routes; 0 if there are no recent requests.
  10: i32 slowdown_permille
  // Queueing delay of a large request body at the network link of the target's VM.
  11: i32 ingress_wait_us
  // Version of the target's software; empty if unknown.
  12: string software
  // In the state kDown: the gate admits one trial request now.
  13: bool trial_due
  // In the state kDown: time until the next trial; 0 if unknown.
  14: i32 next_trial_ms
}

struct NodeAddress {
  1: string name
  2: string data_centre
  3: string host
  4: i32 port
  // Bandwidth of the VM's network link; the readers of the store are selected by it.
  5: i32 link_mbps
}

// Handshake: the first message in each direction of a link.
struct LinkHello {
  1: NodeAddress node
  2: i64 incarnation
  3: i64 config_version
  4: TargetStatus target
  5: list<NodeAddress> known_nodes
  // Set by earlier versions only, which ask for request bodies whose parts have no offset. They get
  // the body with the call.
  6: bool requests_bodies
  // The sender could not read the addresses of other nodes from the store yet.
  7: bool wants_nodes
  // The sender asks for large request bodies with LinkBodyRequest, and their parts need an offset.
  // Other nodes get the body with the call.
  8: bool requests_body_parts
  // The sender knows the field `only_if_queued` of LinkCancel.
  9: bool withdraws_calls
  // Grows with each link that the sender's process opens. Not set in a response to a handshake, and 0
  // from earlier versions.
  10: i64 link_number
  // Only in a response to a handshake: the sender drops what arrives on a link after a message on a later
  // link of the same process, so a refusal holds for all copies of a call.
  11: bool drops_earlier_links
  // Calls with a lower id on this link were sent on earlier links before. 0 from earlier versions.
  12: i64 next_call_id
}

struct LinkCall {
  // Unique among the calls of one incarnation of the calling node.
  1: i64 call_id
  2: string request_id
  3: string service_name
  // Target instance that the calling node selected.
  4: string instance
  5: string method
  6: string path
  7: list<Header> headers
  8: bool idempotent
  9: i32 priority
  // Time left until the caller gives up, and until the latency target, after which a response has less
  // value for the caller.
  10: i32 deadline_ms
  11: i32 latency_target_ms
  // Name of the route; the gate averages service times per route.
  13: string route
  // The gate may queue the request beyond its latency target.
  12: bool accepts_late
  // Immediate-only attempt: accepted only if a slot is free, because other targets may have free slots.
  14: bool free_slot_only
  // Typical service time of the route over all targets; 0 if unknown.
  15: i32 usual_run_us
  // 0 if unknown.
  16: i32 expected_response_bytes
  // Size of a large request body, which is sent when the receiver asks for it; 0 if the body is in the
  // frame of the call.
  17: i32 body_bytes
  // Name of the client account that made the request; empty without one.
  18: string account
}

// Asks for the next bytes of the request body of a call. The receiver of the call decides when, so
// that it gets no body of a call that it refuses, and no more bytes than its network link can take.
struct LinkBodyRequest {
  1: i64 call_id
  2: i32 bytes
}

// The body of this frame is the next part of the request body of a call.
struct LinkBodyPart {
  1: i64 call_id
  // Position of the part in the body.
  2: i64 offset
}

struct LinkReply {
  1: i64 call_id
  2: Outcome outcome
  3: RefusalReason reason
  // The request was sent to the target; also true for some outcomes `kNotRun`.
  4: bool reached_target
  5: i32 http_status
  6: list<Header> headers
  // In a refusal for overload: time until a slot is expected to be free.
  7: i32 retry_after_ms
  8: TargetStatus target
  // Service time of the request; 0 if it was not executed.
  9: i32 run_us
}

struct LinkCancel {
  1: i64 call_id
  // Withdraws the call: it ends only if it has not been sent to the target, and then gets a reply with
  // the outcome kNotRun. Otherwise it goes on.
  2: bool only_if_queued
}

// A route of the mesh's configuration.
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
  // Requests need no key of a client account.
  11: bool is_public
}

struct MeshServiceRecord {
  1: string name
  2: string health_path
  3: i32 max_connections
}

// A client account of the mesh's configuration.
struct MeshAccountRecord {
  1: string name
  2: list<string> keys
  3: i32 priority
  // The priority above applies, in place of the route's.
  4: bool has_priority
  // 0: no limit.
  5: double requests_per_s
  6: double burst
}

struct CallerLimitsRecord {
  1: i64 max_header_bytes
  2: i64 max_body_bytes
  3: i64 header_timeout_us
  4: i64 idle_timeout_us
}

// Changes from version `base` of the mesh's configuration to a later version. With base 0 it holds
// the complete configuration.
struct LinkConfig {
  1: i64 base
  2: i64 version
  3: list<MeshRouteRecord> set_routes
  4: list<string> removed_routes
  5: list<MeshServiceRecord> set_services
  6: list<string> removed_services
  7: CallerLimitsRecord limits
  8: list<MeshAccountRecord> set_accounts
  9: list<string> removed_accounts
}

struct LinkConfigRequest {
  1: i64 have
}

struct LinkProbe {
  1: i64 nonce
  2: bool answer
  3: i64 config_version
  // The sender polls the store, and the store is unreachable or does not reply.
  4: bool store_fails
  // In a reply: the sender knows every configuration that the store had acknowledged this long ago.
  // Absent if it has no such proof.
  5: optional i64 knowledge_age_us
  // In a reply: digest of the operator's entries of the shared state that the sender holds.
  6: i64 operator_digest
}

// Header of one chunk of a large body. Bodies are split into several frames, so that small messages
// need not wait for the whole body. The last chunk comes with the message that the body belongs to.
struct LinkChunk {
  1: i64 transfer_id
  2: bool last
  // Set in the first chunk, which is empty: the call whose response follows. 0 for other bodies.
  3: i64 call_id
}

// The sender of this message promises to the receiver that it sends at least one message per interval
// on this link, so that its failure is detected without calls. 0 withdraws the promise.
struct LinkKeepalive {
  1: i32 interval_ms
}

// One entry of the state that all nodes share. Entries of a key are ordered by (token, sequence); the
// greatest replaces the others.
struct SharedEntry {
  1: string key
  // Fencing token of the writer.
  2: i64 token
  3: i64 sequence
  4: string value
}

// Changed entries, and a digest of all entries of the sender.
struct SharedState {
  1: list<SharedEntry> entries
  2: i64 digest
}

// Requests from one account that a node wants to serve now, and requests that it was granted and did
// not use.
struct QuotaAsk {
  1: string account
  2: i32 wanted
  3: i32 unused
}

struct QuotaRequest {
  1: i64 request_id
  2: list<QuotaAsk> asks
}

struct QuotaGrant {
  1: string account
  2: i32 granted
  // Time until the next token if fewer were granted than asked for.
  3: i32 retry_after_ms
}

// The grants are valid for `term_ms` from the moment at which the request was sent.
struct QuotaReply {
  1: i64 request_id
  // The replying node does not decide on these accounts.
  2: bool not_holder
  3: i32 term_ms
  4: list<QuotaGrant> grants
  // With `not_holder`: time until the replying node decides on them; 0 if it does not know of any.
  5: i32 decides_in_ms
}

// The store assigned these partitions to the sender, with this fencing token. A receiver that holds one
// of them under a lower token gives it up at once. A claim without a token only asks for the reply.
struct PartitionClaim {
  1: i64 token
  2: list<i32> partitions
}

struct PartitionClaimReply {
  // Token of the claim.
  1: i64 token
  // Token of the last reply of the store to the sender; 0 if the sender may not be a member any more.
  2: i64 member_token
  // Partitions that this reply listed.
  3: list<i32> listed
  // Claimed partitions for which the sender knows a higher token.
  4: list<i32> refused
  // Claimed partitions that the sender held under the token before that of the claim, and has ended.
  5: list<i32> ended
  // The sender has known the epoch of `member_token` for at least the TTL of memberships.
  6: bool epoch_settled
}

// Results of the requests of one route at one target since a roll-out order was seen.
struct RolloutRouteResults {
  1: string route
  2: i64 requests
  3: i64 failures
  4: i64 service_time_us
}

// State of one target of a service whose software is being rolled out, from the node beside it. Counts
// are cumulative, so that a lost report does no harm.
struct RolloutReport {
  1: string service_name
  2: string instance
  3: string software
  // Identifies the order.
  4: i64 order
  // Sequence of the roll-out state that this node applies.
  5: i64 applied_sequence
  // The target admits no calls any more, and none is queued or running.
  6: bool closed
  7: list<RolloutRouteResults> routes
}

// The sender has not received anything from a node that promised keepalives. The receiver checks its own
// link to that node.
struct LinkSilence {
  1: string node
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
  10: optional LinkBodyRequest body_request
  11: optional LinkBodyPart body_part
  12: optional LinkKeepalive keepalive
  13: optional LinkSilence silence
  14: optional SharedState shared_state
  15: optional QuotaRequest quota_request
  16: optional QuotaReply quota_reply
  17: optional RolloutReport rollout_report
  18: optional PartitionClaim partition_claim
  19: optional PartitionClaimReply partition_claim_reply
}
