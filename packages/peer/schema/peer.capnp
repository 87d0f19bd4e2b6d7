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
  workspace @0 :Text;
  service @1 :Text;
  key @2 :Text;
  # Digest of the request, to detect a key that is used for another one.
  digest @3 :Text;
}

struct ClaimReply {
  verdict @0 :UInt8;
  runState @1 :UInt8;
  status @2 :UInt16;
  body @3 :Text;
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
}
