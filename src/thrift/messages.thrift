// Messages between celerypost processes. Each frame holds one Header followed
// by the struct that Header.kind names, both in the compact protocol.
namespace cpp celerypost.wire

const i32 PROTOCOL_VERSION = 1

enum Kind {
  HELLO = 1, HEARTBEAT = 2, PULL_DOCUMENT = 3, DOCUMENT = 4,
  WORK = 5, WORK_HEAD = 6, WORK_BODY = 7, WORK_END = 8, CANCEL_WORK = 9,
  HAND_OFF = 10, HAND_OFF_DONE = 11,
  PULL_CHUNK = 12, CHUNK = 13, HAVE_CHUNKS = 14, PING = 15, PONG = 16,
}

struct Header {
  1: i32 version
  2: Kind kind
  // Number of the request on the sender's side of this connection; 0 for
  // messages that belong to no request.
  3: i64 request
  // Attempt number of that request, counted from 1.
  4: i32 attempt
}

struct Hello {
  1: i32 role
  2: i64 instance
  3: string zone
  4: string region
  5: string service_name
  6: string address
  // Random bytes that the sender generated for this connection.
  7: binary nonce
  // HMAC-SHA256 under the shared key of the sender's side, the receiver's nonce
  // and the fields that describe the sender; empty in the first Hello of the
  // connecting side.
  8: binary proof
  // As in the sender's first Member record.
  9: string http_address
  10: i64 incarnation
}

// A witness's statement about the configuration.
struct Stamp {
  1: i64 witness
  2: string region
  3: i64 sequence
  4: i64 config_number
  5: bool store_reachable
  // Milliseconds since the witness made the statement, as known to the sender.
  6: i32 age_ms
}

struct Member {
  1: i64 instance
  2: i32 role
  3: string zone
  4: string region
  5: string service_name
  6: string address
  // 0 live, 1 leaving, 2 dead.
  7: i32 state
  // Grows with each change that the member makes itself.
  8: i64 incarnation
  // Address of the HTTP listener; for entries the one that callers use.
  9: string http_address
  // Agents: digest of the weight set that the target serves.
  10: string serving
  // Agents: the target is past its cold start. Entries: the process has once
  // confirmed that its configuration is the newest.
  11: bool warm
  // Agents: roll-out number up to which this agent has finished switching.
  12: i64 switched
}

struct DocumentNumber {
  1: string key
  2: i64 number
}

struct Heartbeat {
  1: list<Stamp> stamps
  2: list<Member> members
  3: list<DocumentNumber> documents
  // Digest over the whole member table; a difference makes the peers exchange
  // their tables.
  4: i64 members_digest
}

struct PullDocument {
  1: string key
}

struct Document {
  1: string key
  2: i64 number
  3: binary bytes
}

struct LoadReport {
  1: i32 in_flight
  2: i32 queued
  3: i32 limit
  4: bool cold
  5: string serving
}

struct Work {
  1: string request_id
  2: string service_name
  3: string workspace
  4: i32 priority
  // Milliseconds left until the caller's deadline when the frame was sent.
  5: i32 deadline_ms
  6: bool idempotent
  7: string method
  8: string path
  9: string content_type
  10: binary body
  // Leading part of the prompt's hash, for prefix affinity.
  11: i64 prefix_hash
  // Configuration number that the entry routed by.
  12: i64 config_number
}

struct WorkHead {
  1: i32 status
  2: string content_type
  // Weight set version that produces the answer; empty for plain services.
  3: string version
  4: LoadReport load
}

struct WorkBody {
  1: binary bytes
}

// Why an agent did not take an attempt, beyond the error code.
enum Refusal {
  NONE = 0,
  // The request id is newer than the agent's slot table.
  BEHIND = 1,
  // Another agent holds the slot.
  MOVED = 2,
  // The agent takes no new work: it leaves, its zone is out, it is isolated, or
  // its target serves nothing.
  STOPPED = 3,
  // The target or the agent's queue is full.
  FULL = 4,
}

struct WorkEnd {
  // celerypost::Verdict as a number.
  1: i32 verdict
  // celerypost::ErrorCode as a number; -1 when the answer is complete.
  2: i32 error
  3: string message
  4: LoadReport load
  // Instance of the agent that holds the slot now, with refusal MOVED.
  5: i64 moved_to
  6: Refusal refusal
}

struct CancelWork {
  1: string reason
}

struct SlotRecord {
  1: string request_id
  // celerypost::RecordState as a number.
  2: i32 state
  3: i32 status
  4: string content_type
  5: binary answer
  6: i32 attempt
  7: bool has_answer
}

struct HandOff {
  1: string service_name
  2: i32 slot
  3: i64 since_version
  4: i64 until_version
  5: i64 floor_ms
  6: list<SlotRecord> records
}

struct HandOffDone {
  1: string service_name
  2: i32 slot
  3: bool accepted
}

struct PullChunk {
  1: string digest
}

struct Chunk {
  1: string digest
  2: bool found
  3: binary bytes
  // The chunk is not sent because too many requests are waiting; the receiver
  // may ask again later.
  4: bool busy
}

struct HaveChunks {
  1: string set_digest
  // One bit per chunk of the set, in the order of the manifest.
  2: binary bitmap
  3: bool complete
}

// What one gateway has in progress at one target.
struct TargetLoad {
  // Hash of the target's id.
  1: i64 target
  2: i32 in_flight
  // Prompt tokens of requests that have not produced an event.
  3: i32 waiting_tokens
  // How many of `in_flight` wait as late requests; their prompt tokens are not
  // in `waiting_tokens`.
  50: optional i32 late_waiting
}

struct DocumentItem {
  1: string key
  // Empty for a removed key.
  2: binary value
  3: i64 revision
  // Era of the key-value service to which the revision belongs; 0 if unknown.
  4: i64 era
}

// A version of weights that operators named (celerypost::WeightNaming).
struct WeightNaming {
  1: string model
  2: i64 version
  3: i32 named_ms_ago
}

// When the key-value service answered processes of this project
// (celerypost::ReportedAnswers).
struct ServiceAnswers {
  1: i64 era
  2: i32 since_ms_ago
  3: i32 until_ms_ago
  4: bool after_outage
}

// Documents for a process that does not read the key-value service; sent
// compressed (DeltaCodec).
struct DocumentDelta {
  1: bool partial
  2: i64 revision
  3: list<DocumentItem> items
  // 4 was the time since the sender's own calls were answered again.
  5: i64 era
  10: list<WeightNaming> namings
  // Time since the sender knew of all changes; absent if it never did.
  11: optional i32 current_ms_ago
  // Absent until the sender has been answered or told of an answer.
  12: optional ServiceAnswers answers
}

// A gateway as other regions know it.
struct RegionGateway {
  1: string ip
  // Where callers connect.
  2: string caller_address
  // celerypost::NodeState as a number.
  3: i32 state
}

// A model target as other regions know it.
struct RegionTarget {
  1: string address
  2: i64 serving_version
  3: bool loading
  // Time until the target is to be ordered to load; absent when it is not.
  4: optional i32 loads_in_ms
  // The target has told its stager that it leaves.
  30: bool leaving
  // As Beat.target_pace.
  50: optional i32 pace
}

// Decisions of the last second on the requests of a service and a rank
// (celerypost::RankCounts).
struct RankCounts {
  // Hash of the service's name.
  1: i64 service_hash
  2: i32 workspace_priority
  3: i32 route_priority
  4: i32 asked
  5: i32 placed
  6: i32 begun
  7: i32 on_time
  // Sum of the holds that the requests met, in thousandths.
  8: i64 held_thousandths
}

// What one gateway knows of its region, for the gateways of other regions.
struct RegionSummary {
  1: string region
  // The gateway that made the summary, which serves documents.
  2: string ip
  3: list<RegionGateway> gateways
  4: list<RegionTarget> targets
  // Requests of all gateways of the region, by target.
  5: list<TargetLoad> loads
  6: i64 revision
  7: i64 operator_revision
  // Era of both revisions.
  8: i64 era
  9: i64 config_version
  // Hashes of the starts of targets that have lately said that they leave.
  30: list<i64> leaving_targets
  // Of all gateways of the region.
  60: optional list<RankCounts> rank_counts
}

// A request with a part of a prompt had not survived when its target crashed
// (celerypost::CrashEvidence).
struct CrashAccusation {
  // Hash of the model and the part's ID.
  1: i64 part
  // Hash of one start of the target.
  2: i64 target_start
  3: i32 age_ms
}

struct PartSurvival {
  1: i64 part
  // Time since a request with the part last survived.
  2: i32 age_ms
  // Passed on between regions; not to be passed on again.
  3: bool relayed
}

struct PartQuarantine {
  1: i64 part
  2: i32 round
  3: bool lifted
  // Time until a probe is due.
  4: i32 left_ms
}

struct CrashNews {
  1: list<CrashAccusation> accusations
  2: list<PartSurvival> survivals
  3: list<PartQuarantine> quarantines
}

// The pace of a target as one gateway measured it (celerypost::TargetPace).
struct MeasuredPace {
  // Hash of one start of the target.
  1: i64 target_start
  // In hundredths.
  2: i32 pace
  // Time since the latest measurement.
  3: i32 age_ms
}

// Sent as one datagram, without Header, between processes on the users'
// platform.
struct Beat {
  1: i64 instance
  // celerypost::NodeRole as a number.
  2: i32 role
  3: string ip
  4: string zone
  5: string region
  // Gateways: where callers connect.
  6: string caller_address
  // celerypost::NodeState as a number.
  7: i32 state
  // Newest revision of the key-value service that this process has seen.
  8: i64 revision
  9: list<TargetLoad> loads
  // Addresses of other processes from which the sender has received beats
  // recently.
  10: list<string> known
  // Stagers: the target beside the process, and what it holds.
  11: string target_address
  12: string model
  13: i64 staged_version
  14: binary held_chunks
  15: i64 serving_version
  // The target has taken an order and accepts no requests until it is done.
  16: bool loading
  // Chunks that the sender is fetching from the origin or another region.
  17: binary fetching
  // Time until the target is to be ordered to load; absent when it is not.
  18: optional i32 loads_in_ms
  // Newest revision of an operators' document that this process knows.
  19: i64 operator_revision
  // Whether the sender's last call to the key-value service was answered.
  20: bool store_answers
  // Stagers: the version whose digests the sender hands out, 0 for none.
  21: i64 digests_version
  // Gateways: summaries of regions. To another region: that of the sender's; to
  // the sender's own region: those that arrived from others.
  22: list<RegionSummary> summaries
  // Gateways: what they know of prompts that crash targets.
  23: optional CrashNews crash_news
  // The same of whole requests, with their fingerprints in place of parts.
  41: optional CrashNews request_crash_news
  // Era of the key-value service to which both revisions belong.
  24: i64 era
  // Version of the configuration in force, 0 for none.
  25: i64 config_version
  // Time since the sender knew of all changes of documents; absent if it never
  // did.
  40: optional i32 current_ms_ago
  // Absent until the sender has been answered or told of an answer.
  42: optional ServiceAnswers answers
  // Gateways: hashes of the starts of targets that have lately said that they
  // leave.
  30: list<i64> leaving_targets
  // Stagers: the target has said that it leaves.
  31: bool target_leaving
  // Gateways: the sender's own counts; absent where no ranks are told apart.
  60: optional list<RankCounts> rank_counts
  // Stagers: the pace that the target reports, in hundredths; absent if it
  // reports none.
  50: optional i32 target_pace
  // Gateways: own measurements that differ clearly from 1.
  51: optional list<MeasuredPace> paces
}
