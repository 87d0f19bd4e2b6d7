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

struct Document {
  service @0 :Text;
  version @1 :UInt64;
  text @2 :Text;
}

struct UsageCounter {
  service @0 :Text;
  workspace @1 :Text;
  class @2 :Text;
  requests @3 :UInt64;
  promptTokens @4 :UInt64;
  outputTokens @5 :UInt64;
}

struct UsageReport {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  # Cumulative since the daemon's start.
  counters @3 :List(UsageCounter);
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
  push @2 (document :Document) -> ();
  fetch @3 (service :Text, newerThan :UInt64) -> (found :Bool, document :Document);
  reportUsage @4 (report :UsageReport) -> (accepted :Bool, term :UInt64);
  claim @5 (claim :Claim) -> (reply :ClaimReply);
  status @6 () -> (json :Text);
  distribute @7 (message :Distribution) -> ();
  recordOutcome @8 (outcome :Outcome) -> ();
}
