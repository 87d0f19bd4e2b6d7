@0xc2f7a1b08e4d93a6;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("chicorygap::sharing::wire");

# Status and load report that a daemon sends to its peers several times a second, in one datagram.
struct Beacon {
  vm @0 :Text;
  zone @1 :Text;
  # Start time of the daemon process; identifies one run of the daemon.
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  peerAddress @4 :Text;
  operatorAddress @5 :Text;
  # Wall clock of the sender, in milliseconds since the Unix epoch.
  wallTimeMs @6 :Int64;
  configurationVersion @7 :UInt64;
  # Store revision of the latest change to the server list that the sender has seen.
  serversRevision @8 :UInt64;
  stopping @9 :Bool;
  # Fencing token of the lease that the sender holds; 0 if it holds no lease.
  leaseTerm @10 :UInt64;
  services @11 :List(ServiceLoad);
  windows @12 :List(WindowCounts);
  # CPU share of the sender's VM, as a fraction of one core.
  processorShare @13 :Float32;
  # Loads summed over the daemons of the sender's zone; sent only by zone representatives.
  zoneServices @14 :List(ServiceLoad);
  # Number of live daemons in the sender's zone; 0 in beacons that are not zone digests.
  zoneDaemons @15 :UInt32;
  # Fencing token and peer address of the lease holder if it is in the sender's zone; only in zone digests.
  zoneLeaseTerm @16 :UInt64;
  zoneLeaseAddress @17 :Text;
  # Recent calls of the sender to the store failed.
  storeUnreachable @18 :Bool;
  # Peer addresses of daemons in the receiver's zone; sent to a daemon that was unknown.
  contacts @19 :List(Text);
  # Servers that are missing in the sender's list have left; the list holds from serversRevision up to this store
  # revision. 0 if the sender does not know.
  serversFinalRevision @20 :UInt64;
  # Evidence and decisions on prompt parts that end servers.
  crashes @21 :List(CrashRecord);
  successes @22 :List(SuccessRecord);
  verdicts @23 :List(VerdictRecord);
  # Rate limits that servers have named.
  limits @24 :List(LimitRecord);
  # Hashes of servers that have announced that they stop.
  leavingServers @25 :List(UInt64);
  # Requests per second that callers send to the sender; only while servers name limits.
  demands @26 :List(ServiceDemand);
  # Speed of the network link of the sender's VM in Mbit/s; 0 if unknown.
  linkMbits @27 :Float32;
  # Era of the store that serversRevision and serversFinalRevision belong to; 0 if unknown.
  storeEra @28 :UInt64;
  # Counts of usage windows that the sender, as the lease holder, has stored for their reports.
  storedWindows @29 :List(WindowCounts);
  # Servers that ended lately.
  serverEnds @30 :List(ServerEnd);
  # Largest number of daemons that were live at the same time, within the memory of the sender, and when that was last
  # so; 0 if unknown.
  largestFleet @31 :UInt32;
  largestFleetAgeMs @32 :UInt32;
  # Store era and revision of the latest change to the evacuations of zones that the sender has seen; 0 if it does not
  # read them.
  evacuationsEra @33 :UInt64;
  evacuationsRevision @34 :UInt64;
}

# What is known of the rate limit of a server; of two statements the newer one counts.
struct LimitRecord {
  # Hash of the server's id and incarnation, in 40 bits.
  server @0 :UInt64;
  statement @1 :UInt32;
  # Requests in a thousand seconds.
  requestsPerKs @2 :UInt32;
  ageMs @3 :UInt32;
  # Later responses without a limit.
  raises @4 :UInt8;
}

struct ServiceDemand {
  service @0 :Text;
  requestsPerS @1 :Float32;
}

# A server ended while a request with the part was at the beginning of its answer there.
struct CrashRecord {
  part @0 :UInt64;
  # Hash of the server's id.
  server @1 :UInt64;
  # Position of the part in the prompt; 2^32 - 1 for one that belongs to a request or its session.
  depth @2 :UInt32;
  # How far the answer had come: 1 nothing arrived, 2 the first events, 3 the head.
  progress @3 :UInt8;
  ageMs @4 :UInt64;
  # The process of the server may live.
  unconfirmed @5 :Bool;
  # Time from the start of the attempt to its end.
  lengthMs @6 :UInt32;
  # Hash of the server's id, start time and address; 0 if the sender does not tell.
  instance @7 :UInt64;
}

# A server ended, whatever ran there.
struct ServerEnd {
  instance @0 :UInt64;
  ageMs @1 :UInt32;
}

# A request with a part that is in doubt was answered.
struct SuccessRecord {
  part @0 :UInt64;
  ageMs @1 :UInt64;
}

# Decision on a part; of two, the one with the higher number counts.
struct VerdictRecord {
  part @0 :UInt64;
  number @1 :UInt32;
  quarantined @2 :Bool;
  ageMs @3 :UInt64;
  # Time from the decision until one request may try the part again.
  periodMs @4 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  waiting @1 :UInt32;
  servers @2 :List(ServerLoad);
  # The sender observed streams whose token gap exceeded its limit.
  latePauses @3 :Bool;
  # Number of running generations with short prompts.
  streams @4 :UInt32;
  # Prefill speed of a server in prompt tokens per millisecond, as measured by the sender; 0 if unknown.
  tokensPerMs @5 :Float32;
}

struct ServerLoad {
  server @0 :Text;
  running @1 :UInt32;
  memoryTokens @2 :UInt64;
  unreadTokens @3 :UInt64;
  # Recent prefill rate of the sender's requests on this server, in prompt tokens per second.
  promptTokensPerS @4 :UInt32;
  # The server recently reported a non-empty request queue.
  queued @5 :Bool;
}

# Number of requests started in one usage window, by workspace.
struct WindowCounts {
  window @0 :UInt64;
  counts @1 :List(WorkspaceCount);
}

struct WorkspaceCount {
  workspace @0 :Text;
  requests @1 :UInt32;
}
