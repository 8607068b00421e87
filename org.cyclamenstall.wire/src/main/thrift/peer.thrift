// Messages between the daemons of one deployment.
// New fields are optional, so that daemons of two versions can run side by side.
namespace java org.cyclamenstall.wire

/** Identifies one run of a daemon. */
struct Identity {
  1: required string host
  2: required i64 incarnation
  3: optional string failureDomain
  4: optional string peerAddress
}

/** Sums up the state of a daemon once per exchange. */
struct ExchangeRequest {
  1: required Identity sender
  2: optional string secret
  3: optional i64 catalogueRevision
  4: optional bool leaving
}

/** Answers an exchange with the state of the receiver. */
struct ExchangeResponse {
  1: required Identity receiver
  2: optional i64 catalogueRevision
  3: optional bool leaving
}

service PeerService {
  ExchangeResponse exchange(1: ExchangeRequest request)
}
