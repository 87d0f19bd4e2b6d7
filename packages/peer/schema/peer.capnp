@0xb7e15162a9c1d3f5;
# Calls between daemons. Sizes of the gossip structs are estimated by membership::encoded_size.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicorygap::peer::wire");

struct Member {
  id @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt32;
  state @5 :UInt8;
}

struct ZoneSummary {
  zone @0 :Text;
  members @1 :UInt32;
  ageMs @2 :UInt32;
}

struct ServiceDigest {
  service @0 :Text;
  version @1 :UInt64;
  pressure @2 :UInt8;
  pressureAgeMs @3 :UInt32;
}

struct Gossip {
  kind @0 :UInt8;
  number @1 :UInt64;
  sender @2 :Member;
  listHash @3 :UInt64;
  target @4 :Text;
  updates @5 :List(Member);
  zones @6 :List(ZoneSummary);
  services @7 :List(ServiceDigest);
  # Server hashes and requests in flight, in the same order.
  servers @8 :List(UInt64);
  inFlight @9 :List(UInt16);
}

struct UsageCounts {
  requests @0 :UInt64;
  promptTokens @1 :UInt64;
  outputTokens @2 :UInt64;
}

struct UsageRow {
  service @0 :Text;
  workspace @1 :Text;
  class @2 :Text;
  # Since the daemon's start, and the part counted before the report's window began.
  total @3 :UsageCounts;
  opening @4 :UsageCounts;
}

struct UsageReport {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  window @3 :Int64;
  rows @4 :List(UsageRow);
}

struct Claim {
  # Hex digests of the record's id and of the request, which detects a key that is used for another one.
  record @0 :Text;
  digest @1 :Text;
}

struct Outcome {
  record @0 :Text;
  status @1 :UInt16;
  body @2 :Text;
  # False if the body was too long to be recorded.
  whole @3 :Bool;
}

struct ClaimReply {
  verdict @0 :UInt8;
  runState @1 :UInt8;
  status @2 :UInt16;
  body @3 :Text;
}

struct TextDelta {
  baseVersion @0 :UInt64;
  prefix @1 :UInt64;
  suffix @2 :UInt64;
  middle @3 :Text;
  checksum @4 :UInt64;
}

struct DocumentItem {
  key @0 :Text;
  version @1 :UInt64;
  deleted @2 :Bool;
  text @3 :Text;
  # Present instead of the text if the pointer is set.
  delta @4 :TextDelta;
}

struct DigestEntry {
  keyHash @0 :UInt64;
  newest @1 :UInt64;
  active @2 :UInt64;
}

struct DocumentDigest {
  complete @0 :Bool;
  entries @1 :List(DigestEntry);
  # Ages in milliseconds, -1 if there is no evidence.
  platformAgeMs @2 :Int64 = -1;
  outsideAgeMs @3 :Int64 = -1;
}

struct DocumentPush {
  root @0 :Text;
  items @1 :List(DocumentItem);
}

# One message of the distribution of documents.
struct Distribution {
  senderVm @0 :Text;
  senderZone @1 :Text;
  union {
    push @2 :DocumentPush;
    fetch @3 :List(UInt64);
    digest @4 :DocumentDigest;
    digestRequest @5 :Void;
  }
}

interface Peer {
  # An empty reply (hasReply false) means that the receiver has nothing to say.
  probe @0 (message :Gossip) -> (hasReply :Bool, reply :Gossip);
  probeIndirect @1 (message :Gossip) -> (hasReply :Bool, reply :Gossip);
  distribute @2 (message :Distribution) -> ();
  reportUsage @3 (report :UsageReport) -> (accepted :Bool, term :UInt64);
  claim @4 (claim :Claim) -> (reply :ClaimReply);
  recordOutcome @5 (outcome :Outcome) -> ();
  status @6 () -> (json :Text);
}
