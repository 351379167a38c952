// Messages of the replicated log between control instances.

namespace py cranberrymux.wire.gen.consensus

struct Member {
  1: required string replica_id
  2: required string address
  3: required bool voter
}

struct Membership {
  1: required string cluster_id
  2: required list<Member> members
}

struct Entry {
  1: required i64 log_index
  2: required i64 term
  3: required i32 kind
  4: required binary payload
}

struct VoteRequest {
  1: required bool pre_vote
  2: required i64 last_index
  3: required i64 last_term
}

struct VoteAnswer {
  1: required bool pre_vote
  2: required bool granted
}

struct AppendRequest {
  1: required i64 previous_index
  2: required i64 previous_term
  3: required list<Entry> entries
  4: required i64 commit_index
  5: required double sent_at_s
}

struct AppendAnswer {
  1: required bool accepted
  2: required i64 match_index
  3: required i64 previous_index
  4: required double sent_at_s
}

struct SnapshotChunk {
  1: required i64 log_index
  2: required i64 snapshot_term
  3: required Membership members
  4: required i64 offset
  5: required i64 total_bytes
  6: required binary data
  7: required double sent_at_s
}

struct SnapshotAnswer {
  1: required i64 log_index
  2: required i64 received_bytes
  3: required bool installed
  4: required double sent_at_s
}

// Exactly one of the fields from 5 on is set.
struct Message {
  1: required string cluster_id
  2: required string sender
  3: required string recipient
  4: required i64 term
  5: optional VoteRequest vote_request
  6: optional VoteAnswer vote_answer
  7: optional AppendRequest append_request
  8: optional AppendAnswer append_answer
  9: optional SnapshotChunk snapshot_chunk
  10: optional SnapshotAnswer snapshot_answer
}
