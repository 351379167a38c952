// Messages between processes. Regenerate with `make generate`.

namespace py cranberrymux.wire.gen.messages

struct Endpoint {
  1: required string service_name
  2: required string endpoint_id
  3: required i64 incarnation
  4: required i64 sequence
  5: required string address
  6: required i32 port
  7: required string region
  8: required string zone
  9: required map<string, string> labels
  10: required i32 slots
  11: required i32 state
  // Id that the backend server itself sends on its answers; absent if it has
  // none.
  12: optional string backend_id
  // Unix milliseconds at which the backend server started; absent if unknown.
  13: optional i64 backend_started_ms
}

// A node's heartbeat. `endpoints` holds the endpoint of its own backend server,
// `services` the services whose endpoints it needs, `directory_revision` the
// newest revision that it has of those (0: none).
struct Heartbeat {
  1: required string node_id
  2: required i64 incarnation
  3: required list<Endpoint> endpoints
  4: required list<string> services
  5: required i64 directory_revision
  6: required i64 configuration_version
  7: required string directory_epoch
  // Newest revision of the suspects that the node has of the answerer; absent
  // in heartbeats of nodes that need none.
  8: optional i64 suspect_revision
  // True if the endpoints are those that the answerer said it keeps, so that
  // `endpoints` is empty.
  9: optional bool has_same_endpoints
}

// The ids of the ledger of suspects under one name.
struct SuspectRow {
  1: required string fingerprint
  2: required list<string> event_ids
}

// `configuration` is the YAML document of `configuration_version`, absent when
// the node has it already. `vouched_ms` is the time for which the control
// instance confirms that version as current; 0: it cannot confirm it.
struct HeartbeatAnswer {
  1: required i64 lease_ms
  2: required string directory_epoch
  3: required i64 directory_revision
  4: required bool whole_directory
  5: required list<Endpoint> endpoints
  6: required i64 configuration_version
  7: optional string configuration
  8: required i64 vouched_ms
  // True if an operator requested a drain of this incarnation.
  9: optional bool drain
  // `ip:port` of every control instance that the answerer knows.
  10: optional list<string> control_instances
  // Suspects changed since the heartbeat's `suspect_revision`.
  11: optional list<SuspectRow> suspects
  12: optional i64 suspect_revision
  // `ip:port` of the control instance that hands out quota tokens; absent if
  // none is known.
  13: optional string quota_owner
  // True if the answerer keeps the node's endpoints, so that the next heartbeat
  // need not name them.
  14: optional bool keeps_endpoints
}

// Tokens of one client account. In a request, `tokens` is the number that the
// node wants to hold, negative if requests wait for them, and `used` what it has
// spent since its last request; in an answer, `tokens` is what it gets in addition.
struct QuotaRow {
  1: required string account
  2: required i32 tokens
  3: required i32 used
}

// `sequence` rises with each request of one incarnation of a node, so that a
// request that arrives twice is counted once. With `is_standby`, the rows are
// what a control instance passed on from its pool, which the answer fills up. A
// request with sequence 0 asks for tokens of such a pool, outside of any session.
struct QuotaRequest {
  1: required string node_id
  2: required i64 incarnation
  3: required i64 sequence
  4: required list<QuotaRow> rows
  5: required i64 configuration_version
  6: optional bool is_standby
}

// Tokens are valid for `ttl_ms` from the time at which the request was sent.
struct QuotaAnswer {
  1: required list<QuotaRow> rows
  2: required i64 ttl_ms
  3: required i64 configuration_version
}

// `claim_id` is the same on each resend of one claim by one owner, so that the
// resend of a grant whose answer was lost is granted again. Without it, a
// resend of a granted claim is answered with RUNNING.
struct ClaimRequest {
  1: required string request_id
  2: required string call_id
  3: required string body_digest
  4: required string owner
  5: required i64 owner_incarnation
  6: required string principal
  7: optional string claim_id
}

enum ClaimVerdict {
  GRANTED = 1
  RUNNING = 2
  SETTLED = 3
  DIGEST_MISMATCH = 4
  EXPIRED = 5
  UNAVAILABLE = 6
  UNKNOWN_OUTCOME = 7
}

struct ClaimAnswer {
  1: required ClaimVerdict verdict
  2: required i32 status
  3: optional binary body
  4: required i64 retry_after_ms
  5: optional string owner
}

// Ends a claim; `claim_id` is that of the claim. Status 0 releases the claim:
// no byte of the call was handed over to the backend server and none will be.
// This needs a claim_id.
struct SettleRequest {
  1: required string request_id
  2: required string call_id
  3: required string owner
  4: required i64 owner_incarnation
  5: required i32 status
  6: optional binary body
  7: optional string claim_id
}

// A message of the replicated log; `payload` is an encoded `Message` of
// consensus.thrift.
struct PeerMessage {
  1: required string sender
  2: required string recipient
  3: required binary payload
}

// Announces a control instance to another. A replica that is not a member yet
// sends it to all control instances, a follower to its leader.
struct Contact {
  1: required string replica_id
  2: required string address
  // True if the sender ends, so that the leader removes it from the members.
  3: optional bool is_leaving
}

// `cluster_id` is empty if the answerer has no log. `vouched_ms` is the rest of
// the answerer's leader lease, 0 if it has none; while it has one,
// `commit_index` is the newest entry that any instance can have accepted.
struct ContactAnswer {
  1: required string replica_id
  2: required string cluster_id
  3: required i64 commit_index
  4: required i64 vouched_ms
  // `ip:port` of every control instance that the answerer knows.
  5: optional list<string> control_instances
  // True if the answerer leads and its committed membership does not contain
  // the sender.
  6: optional bool has_left
}

// An id to add to the ledger of suspects under a name.
struct SuspectItem {
  1: required string fingerprint
  2: required string event_id
  // Not added if the name has so many ids.
  3: optional i32 maximum_ids
}

// With `items`, these are added; else the death that the other fields name. An
// empty `endpoint_id` adds nothing.
struct SuspectReport {
  1: required string fingerprint
  2: required string endpoint_id
  3: required i64 incarnation
  4: optional list<SuspectItem> items
}

// `deaths` is the number of ids under `fingerprint`, `event_ids` holds them if
// the report had items.

struct SuspectAnswer {
  1: required i32 deaths
  2: optional list<string> event_ids
}

// A change of configuration. `base_version` is the version that the author
// saw; `rollback_of` is the version whose document this change restores.
struct ChangeRequest {
  1: required string change_id
  2: required i64 base_version
  3: required string author
  4: required string document
  5: optional i64 rollback_of
}

enum ChangeVerdict {
  ACCEPTED = 1
  CONFLICT = 2
  INVALID = 3
}

// An entry of the history of changes.
struct ChangeRecord {
  1: required i64 version
  2: required i64 base_version
  3: required string change_id
  4: required string author
  5: required i64 at_ms
  6: required string difference
  7: optional i64 rollback_of
}

// `record` is the accepted change or, with CONFLICT, the change that was
// accepted instead.
struct ChangeAnswer {
  1: required ChangeVerdict verdict
  2: optional ChangeRecord record
  3: required string detail
}

// Reports that the owner's lease ended before it settled the claim.
struct AbandonRequest {
  1: required string request_id
  2: required string call_id
  3: required string owner
  4: required i64 owner_incarnation
}

// An entry of the replicated log; exactly one of the optional fields is set.
struct Command {
  1: required i64 at_ms
  2: optional ChangeRequest change
  3: optional ClaimRequest claim
  4: optional SettleRequest settle
  5: optional AbandonRequest abandon
  6: optional SuspectReport suspect
}

// The answer of the state machine. If `committed` is false, the command is not
// known to be committed; if `rejected` is true, it never will be.
struct CommandAnswer {
  1: required bool committed
  2: required bool rejected
  3: optional ChangeAnswer change
  4: optional ClaimAnswer claim
  5: optional SuspectAnswer suspect
  6: optional string leader
  7: required i64 retry_after_ms
}

exception Refused {
  1: required string reason
}

service Control {
  HeartbeatAnswer heartbeat(1: string key, 2: Heartbeat heartbeat)
      throws (1: Refused refused)
  ClaimAnswer claim(1: string key, 2: ClaimRequest request)
      throws (1: Refused refused)
  ClaimAnswer settle(1: string key, 2: SettleRequest request)
      throws (1: Refused refused)
  SuspectAnswer report_suspect(1: string key, 2: SuspectReport report)
      throws (1: Refused refused)
  // From a control instance to the leader.
  CommandAnswer propose(1: string key, 2: Command command)
      throws (1: Refused refused)
  // From a node to the owner of the quotas.
  QuotaAnswer take_quota(1: string key, 2: QuotaRequest request)
      throws (1: Refused refused)
  ContactAnswer contact(1: string key, 2: Contact contact)
      throws (1: Refused refused)
  oneway void deliver(1: string key, 2: PeerMessage message)
}
