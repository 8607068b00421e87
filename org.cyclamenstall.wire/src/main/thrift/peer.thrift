// Messages between the daemons of one deployment.
// New fields are optional, so that daemons of two versions can run side by side.
namespace java org.cyclamenstall.wire

/** Identifies one run of a daemon. */
struct Identity {
  1: required string host
  2: required i64 incarnation
  3: optional string failureDomain
  4: optional string peerAddress
  5: optional i32 peerPort
}

/** Holds one catalogue record, or its tombstone, as JSON. */
struct CatalogueItem {
  1: required i64 revision
  2: required binary json
}

/** Reports what a daemon would use of each fleet-wide limit. */
struct Demand {
  1: optional map<string, double> demandByLimit
  2: optional map<string, i32> inFlightByUpstream
}

/** Sums up the catalogue of a daemon; left out while it has none. */
struct CatalogueState {
  1: required i64 revision
  2: required i64 digest
}

/** Sums up the state of a daemon once per exchange. */
struct ExchangeRequest {
  1: required Identity sender
  2: optional string secret
  3: optional i64 catalogueRevision
  4: optional bool leaving
  5: optional CatalogueState catalogue
  6: optional list<CatalogueItem> records
  7: optional Demand demand
  8: optional bool newcomer
  // The records are all those after this revision; a receiver below it must not take them.
  9: optional i64 recordsAfter
}

/** Answers an exchange with the state of the receiver. */
struct ExchangeResponse {
  1: required Identity receiver
  2: optional i64 catalogueRevision
  3: optional bool leaving
  4: optional CatalogueState catalogue
  5: optional list<CatalogueItem> records
  6: optional Demand demand
  7: optional list<Identity> members
  8: optional i64 recordsAfter
}

/** Tells what the claimant knows of a claim. */
enum ClaimState {
  UNKNOWN = 0
  IN_PROGRESS = 1
  ABANDONED = 2
  COMPLETED = 3
}

/** Asks a daemon what became of an attempt that it claimed. */
struct ClaimQuery {
  1: required Identity sender
  2: optional string secret
  3: required i64 claimantIncarnation
  4: required string attempt
}

/** Answers a claim query. */
struct ClaimReport {
  1: required i64 claimantIncarnation
  2: optional ClaimState state
  3: optional i32 answerStatus
  4: optional string answerContentType
  5: optional binary answerBody
}

/** Lists why a daemon refuses a message. */
enum RefusalReason {
  UNAUTHORIZED = 1
  OLDER_INCARNATION = 2
  SAME_HOST = 3
}

/** Refuses a message. */
exception PeerRefusal {
  1: optional RefusalReason reason
}

/** Names the address at which a daemon receives load reports. */
struct LoadEndpoint {
  // Four or sixteen bytes in network order.
  1: required binary address
  2: required i32 port
  3: optional string failureDomain
}

/** Reports the work that a daemon has at one upstream. */
struct UpstreamLoad {
  // Hash of the name of the upstream.
  1: required i64 upstream
  2: required i32 running
  // Prompt tokens of requests without a first event, by priority level.
  3: optional map<i8, i32> pendingTokensByPriority
  // Latency-sensitive streams among the running requests.
  4: optional i32 latencySensitive
}

/** Reports that an upstream crashed before it responded to requests with certain prompt parts. */
struct CrashReport {
  // Hash of the name and the incarnation of the upstream.
  1: required i64 crash
  2: required i64 ageMillis
  // Hashes of the service and the identifier of the suspected parts.
  3: required list<i64> parts
}

/** Reports that an upstream began to respond to a request with a prompt part. */
struct PartSuccess {
  1: required i64 part
  2: required i64 ageMillis
}

/** Reports that a prompt part is quarantined. */
struct QuarantineVerdict {
  1: required i64 part
  2: required i64 ageMillis
  3: required i64 durationMillis
  // Earlier quarantines that a new crash followed.
  4: optional i32 repetitions
}

/** Holds what a daemon knows of prompt parts that crash upstreams. */
struct QuarantineReport {
  1: optional list<CrashReport> crashes
  2: optional list<PartSuccess> successes
  3: optional list<QuarantineVerdict> verdicts
}

/** Reports the work of a daemon at all upstreams. */
struct LoadReport {
  1: required LoadEndpoint sender
  2: required i64 incarnation
  3: required i64 sequence
  4: optional list<UpstreamLoad> loads
  // Other daemons that the sender hears from.
  5: optional list<LoadEndpoint> members
  // The receiver forwards the report to the daemons of its failure domain.
  6: optional bool relay
  7: optional bool leaving
  8: optional QuarantineReport quarantine
}

/** Holds the contents of one datagram: the report of the sender and those that it relays. */
struct LoadDatagram {
  1: required list<LoadReport> reports
}

/** Counts the requests that upstreams began in one window, from its start until now. */
struct WindowCounts {
  1: required i64 window
  // Requests by the name of the client account.
  2: required map<string, i32> requestsByAccount
}

/** Tells the daemons the time and to whom they send their counts, from the leader. */
struct CollectorNotice {
  // Fencing token of the leader.
  1: required i64 token
  // Time of day, in milliseconds since the epoch.
  2: required i64 timeMillis
  // Daemons that receive the counts as well as the leader.
  3: optional list<LoadEndpoint> standbys
}

/** Holds the contents of one datagram to or from a daemon that collects counts. */
struct MeteringDatagram {
  1: required LoadEndpoint sender
  // Start time of the sender, in milliseconds since the epoch.
  2: required i64 incarnation
  // Time of day of the sender, in milliseconds since the epoch.
  3: required i64 timeMillis
  4: optional list<WindowCounts> windows
  5: optional CollectorNotice notice
  // Engine time of the requests of the sender since its start, in milliseconds, by service.
  6: optional map<string, i64> engineMillisByService
}

service PeerService {
  ExchangeResponse exchange(1: ExchangeRequest request) throws (1: PeerRefusal refusal)
  ClaimReport queryClaim(1: ClaimQuery query) throws (1: PeerRefusal refusal)
}
