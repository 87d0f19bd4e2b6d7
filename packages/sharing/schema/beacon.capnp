@0xc2f7a1b08e4d93a6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicorygap::sharing::wire");

# What a daemon tells its peers several times a second, in one datagram.
struct Beacon {
  vm @0 :Text;
  zone @1 :Text;
  # Differs for every start of a daemon.
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  peerAddress @4 :Text;
  operatorAddress @5 :Text;
  # The sender's time of day, in milliseconds since 1970.
  wallTimeMs @6 :Int64;
  configurationVersion @7 :UInt64;
  # Revision of the store at which the sender last saw the list of servers change.
  serversRevision @8 :UInt64;
  stopping @9 :Bool;
  # Fencing token of the lease that the sender holds, 0 if it holds none.
  leaseTerm @10 :UInt64;
  services @11 :List(ServiceLoad);
  windows @12 :List(WindowCounts);
  # Part of a core that the sender's VM has.
  processorShare @13 :Float32;
  # Sums over the daemons of the sender's zone, from the daemon that speaks for it.
  zoneServices @14 :List(ServiceLoad);
}

struct ServiceLoad {
  service @0 :Text;
  waiting @1 :UInt32;
  servers @2 :List(ServerLoad);
  # The sender saw streams that were late for pauses.
  latePauses @3 :Bool;
  # Running generations with short prompts.
  streams @4 :UInt32;
  # Prompt tokens that servers read in a millisecond, as the sender measured it; 0 if it did not.
  tokensPerMs @5 :Float32;
}

struct ServerLoad {
  server @0 :Text;
  running @1 :UInt32;
  memoryTokens @2 :UInt64;
  unreadTokens @3 :UInt64;
  # Prompt tokens that the server lately had to read for the sender's requests, per second.
  promptTokensPerS @4 :UInt32;
  # The server said a moment ago that requests queue there.
  queued @5 :Bool;
}

# Requests that began to run in one usage window, by workspace.
struct WindowCounts {
  window @0 :UInt64;
  counts @1 :List(WorkspaceCount);
}

struct WorkspaceCount {
  workspace @0 :Text;
  requests @1 :UInt32;
}
