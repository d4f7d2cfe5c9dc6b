@0xd3b1f06a5c9e4471;
# Frames between the processes of one system.
#
# Fields and union members are only ever added, with new numbers, so that hosts of
# two releases work together during a rolling replacement.

struct Frame {
  id @0 :UInt64;        # Matches a response to its request; 0 for a one-way message.
  body :union {
    unset @1 :Void;
    error @2 :Error;
    done @3 :Void;      # Response without content.
    hello @4 :Hello;
    challenge @5 :Challenge;
    proof @6 :Proof;
    digest @7 :Digest;
    fetch @8 :Fetch;
    publish @9 :Publish;
    vouch @10 :Vouch;
    inquire @11 :Vouch;
    vouched @12 :Vouched;
    relayStore @13 :StoreCall;
    storeAnswer @14 :StoreAnswer;
    claim @15 :Claim;
    claimed @16 :Claimed;
    settle @17 :Settle;
    lookup @18 :Claim;
    transfer @19 :Transfer;
    records @20 :Records;
    lease @21 :Lease;
    leased @22 :Leased;
    report @23 :Report;
    status @24 :Void;
    statusAnswer @25 :Text;   # JSON.
    subscribe @26 :Subscribe;
    hostReport @27 :HostReport;
    documentsWanted @28 :DocumentsWanted;
    documents @29 :Documents;
    permitWanted @30 :ServerLimit;    # Wants to send one request to a limited server.
    permit @31 :Permit;
    relayWanted @32 :RelayedRequest;  # From a host without a path to a server.
    relayed @33 :RelayedResponse;
    relayPartWanted @34 :UInt64;      # Identifier of the relay whose body goes on.
    relayPart @35 :RelayedPart;
    relayEnded @36 :UInt64;           # One-way: no more is wanted of this relay.
    slotWanted @37 :SlotWanted;       # Wants to send one request to a server.
    slot @38 :Slot;
    slotReturned @39 :SlotReturned;   # One-way: ends a lease, or the wait for one.
  }
}

struct Error {
  kind @0 :Text;
  message @1 :Text;
}

struct Hello {
  release @0 :UInt32;
  host @1 :Text;
  dataCentre @2 :Text;
  role @3 :Text;
  processId @4 :Text;   # Random at each start.
  keyId @5 :Data;       # First bytes of the SHA-256 of the cluster key in use.
  nonce @6 :Data;
  sentMs @7 :UInt64;    # On the sender's boot clock; 0 if it has not been stamped.
}

struct Challenge {
  nonce @0 :Data;
  proof @1 :Data;
  host @2 :Text;
  dataCentre @3 :Text;
  processId @4 :Text;
  release @5 :UInt32;
}

struct Proof {
  proof @0 :Data;
  sentMs @1 :UInt64;    # As in Hello.
}

struct TopicVersion {
  name @0 :Text;
  version @1 :UInt64;
}

struct Topic {
  name @0 :Text;
  version @1 :UInt64;
  content @2 :Data;
  baseVersion @3 :UInt64;   # Not 0: content is a delta against this version.
}

struct Digest {
  topics @0 :List(TopicVersion);
  confirmedAgeMs @1 :UInt32;   # Age of the newest confirmation that the store was read.
  storeDown @2 :Bool;
  sender @3 :Text;
  incarnation @4 :UInt64;
  leaving @5 :Bool;
  suspects @6 :List(Text);
}

struct Fetch {
  names @0 :List(Text);
}

struct Publish {
  topics @0 :List(Topic);
  hops @1 :UInt8;
}

struct Subscribe {
  role @0 :Text;
  topics @1 :List(TopicVersion);
}

struct Vouch {
  service @0 :Text;
  holder @1 :Text;      # Process identifier of the coordinator or candidate.
  epoch @2 :UInt64;
  durationMs @3 :UInt32;   # 0 releases the vouch of the holder.
  termsMs @4 :UInt32;   # With a release: how long granted terms may still run.
}

struct Vouched {
  granted @0 :Bool;
  reason @1 :Text;
  remainingMs @2 :UInt32;   # Of a valid vouch for another holder, else 0.
  highestEpoch @3 :UInt64;
  holder @4 :Text;
}

struct StoreCall {
  method @0 :Text;
  path @1 :Text;
  body @2 :Data;
}

struct StoreAnswer {
  status @0 :UInt16;    # HTTP status, 0 when the store could not be reached.
  body @1 :Data;
  sent @2 :Bool;        # Whether the call may have reached the store.
}

struct Claim {
  account @0 :Text;
  service @1 :Text;
  idempotencyKey @2 :Text;
  requestDigest @3 :Data;
  entry @4 :Text;           # Process identifier of the claiming entry process.
  attempt @5 :UInt64;       # Random identifier of this claim.
  deadlineMs @6 :UInt32;
  rosterVersion @7 :UInt64; # Roster from which the holders were chosen.
}

enum RecordState {
  new @0;
  running @1;
  settled @2;
  unknown @3;
  cannotTell @4;
  mismatch @5;
}

struct Claimed {
  state @0 :RecordState;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  bodyKept @4 :Bool;
  ageMs @5 :UInt32;
  attempt @6 :UInt64;       # Attempt that holds the record.
  reason @7 :Text;          # Why the holder cannot tell.
  rosterVersion @8 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Settle {
  account @0 :Text;
  service @1 :Text;
  idempotencyKey @2 :Text;
  attempt @3 :UInt64;
  state @4 :RecordState;    # settled, unknown, or new to withdraw the claim.
  status @5 :UInt16;
  headers @6 :List(Header);
  body @7 :Data;
  bodyKept @8 :Bool;
  requestDigest @9 :Data;
  entry @10 :Text;
}

struct Transfer {
  requester @0 :Text;
  after @1 :UInt64;         # Cursor of the previous page.
}

struct Record {
  claim @0 :Claim;
  result @1 :Claimed;
}

struct Records {
  records @0 :List(Record);
  next @1 :UInt64;          # Cursor of the next page, 0 at the end.
  rosterVersion @2 :UInt64; # Roster of the sender.
  base @3 :UInt64;          # Roster version up to which its records are complete.
  storeDown @4 :Bool;       # Whether the sender cannot reach the store.
}

struct Lease {
  service @0 :Text;
  router @1 :Text;
  stampMs @2 :UInt64;       # On the router's clock.
  tableVersion @3 :UInt64;
}

struct Leased {
  granted @0 :Bool;
  epoch @1 :UInt64;
  tableVersion @2 :UInt64;
  stampMs @3 :UInt64;       # Echo of the request's stamp.
  termMs @4 :UInt32;
}

struct KeyLoad {
  keyHash @0 :UInt64;
  requests @1 :UInt64;
  error @2 :UInt64;         # Upper bound of the overestimate.
}

struct SliceLoad {
  sliceIndex @0 :UInt32;
  requests @1 :UInt64;
}

struct Report {
  service @0 :Text;
  router @1 :Text;
  windowMs @2 :UInt32;
  sliceLoads @3 :List(SliceLoad);   # Not read; sliceCounts replaces it.
  hotKeys @4 :List(KeyLoad);
  sliceCounts @5 :List(UInt32);     # Requests of every slice, in order.
}

struct HotKey {
  keyHash @0 :UInt64;
  server @1 :UInt16;        # Index into servers.
}

struct SliceTable {
  service @0 :Text;
  version @1 :UInt64;
  epoch @2 :UInt64;
  servers @3 :List(Text);
  owners @4 :List(UInt16);  # One for each slice; 65535 for no owner.
  hotKeys @5 :List(HotKey);
  coordinator @6 :Text;     # Control address of the coordinator.
  addresses @7 :List(Text); # One for each server.
  fencing @8 :Text;
}

struct KeyCount {
  key @0 :UInt16;
  requests @1 :UInt32;
}

struct ServerEvidence {
  server @0 :Text;
  answered @1 :UInt32;
  logLatencySum @2 :Float32;  # Natural logarithms of latencies in seconds.
  latencySumS @3 :Float32;
}

struct ServiceReport {
  service @0 :Text;
  keys @1 :List(KeyCount);
  servers @2 :List(ServerEvidence);
}

struct LeavingServer {
  server @0 :Text;
  bornMs @1 :UInt64;
}

struct ServerLimit {
  server @0 :Text;
  bornMs @1 :UInt64;
  named @2 :Bool;           # Whether the server names a limit.
  perSecond @3 :Float64;    # Requests from all hosts together.
  ageMs @4 :UInt32;         # Since a host received the response that told so.
}

struct Permit {
  confirmed @0 :Bool;       # False when the responding host may not issue permits.
  granted @1 :Bool;
  retryMs @2 :UInt32;       # When a refused caller should return.
  nextMs @3 :UInt32;        # When the next permit can be issued.
}

struct RelayedRequest {
  relayId @0 :UInt64;         # Unique among those of one connection.
  server @1 :Text;            # The only one that the request may be sent to.
  bornMs @2 :UInt64;
  attemptId @3 :Text;
  method @4 :Text;
  host @5 :Text;
  target @6 :Text;            # Path and query.
  keyed @7 :Bool;
  key @8 :UInt16;
  remainingMs @9 :UInt32;     # Until the caller's deadline.
  headers @10 :List(Header);
  body @11 :Data;
  caller @12 :Text;           # IP address of the caller.
  sentMs @13 :UInt64;         # As in Hello; remainingMs counts from then.
  coldPermitted @14 :Bool;    # Whether the sender has used its turn at a cold server.
}

struct RelayedResponse {
  refusal @0 :Text;           # Why the request was not sent; empty if it was.
  outcome @1 :Text;
  detail @2 :Text;
  reachesServers @3 :Bool;    # Whether the sender has had a server's response lately.
  complete @4 :Bool;          # Whether there is a response for the caller.
  status @5 :UInt16;
  headers @6 :List(Header);
  body @7 :Data;              # Whole unless continues is set.
  continues @8 :Bool;         # Whether parts of the body follow on demand.
  length @9 :Int64;           # Of the whole body; negative if it is not known.
  leaving @10 :Bool;          # What the server said about itself.
  pauseMs @11 :UInt32;
  limited @12 :Bool;
  limitPerS @13 :Float64;
  unable @14 :Bool;           # With a refusal: whether it concerns all servers.
  loadStated @15 :Bool;       # Whether the server stated the load below.
  running @16 :UInt32;
  waiting @17 :UInt32;
  slots @18 :UInt32;
  slowness @19 :Float32;      # 1 is as usual.
  warmupStated @20 :Bool;     # Whether the server stated for how long it is cold.
  warmupLeftMs @21 :UInt32;
  ofAnotherServer @22 :Bool;  # Whether another server has responded at the address.
}

struct RelayedPart {
  data @0 :Data;
  ended @1 :Bool;
  broken @2 :Text;            # Why the body has no end; empty if it goes on or ended.
}

struct CrashReport {
  fingerprint @0 :UInt64;   # Of a request that was in flight when the server ended.
  server @1 :Text;
  bornMs @2 :UInt64;
  ageMs @3 :UInt32;
}

struct AnsweredRequest {
  fingerprint @0 :UInt64;   # Of a reported request that a server has responded to.
  ageMs @1 :UInt32;
}

struct BlockedRequest {
  fingerprint @0 :UInt64;
  remainingMs @1 :UInt32;
  times @2 :UInt32;         # How often it has been blocked.
}

struct HostReport {
  host @0 :Text;
  spanMs @1 :UInt32;
  services @2 :List(ServiceReport);
  leaving @3 :List(LeavingServer);    # Servers that told this host that they leave.
  limits @4 :List(ServerLimit);       # Observed since the last report.
  crashes @5 :List(CrashReport);      # That this leader has not taken yet.
  answered @6 :List(AnsweredRequest);
  coldServers @7 :List(ColdServer);   # That this host has learned of.
}

struct DocumentsWanted {
  configurationRevision @0 :UInt64;   # Newest one that the sender has.
  assignmentRevision @1 :UInt64;
  serversDigest @2 :UInt64;           # Of the servers in the sender's view.
  waitMs @3 :UInt32;                  # How long the response may wait for a change.
  hosts @4 :UInt32;                   # How many hosts the sender knows.
  takesChanges @5 :Bool;              # Whether the response may contain deltas.
  configurationVersion @6 :UInt64;    # Of the operator; 0 when the sender has none.
  assignmentFence @7 :UInt64;         # Of the assignment; 0 when the sender has none.
  takesLimits @8 :Bool;               # Whether the sender keeps limits of servers.
  limitsDigest @9 :UInt64;            # Of the limits that it knows; 0 for none.
  takesBlocked @10 :Bool;             # Whether the sender blocks requests.
  blockedDigest @11 :UInt64;          # Of the blocked requests that it knows; 0 for none.
  reachesServers @12 :Bool;           # Whether a server has responded to it lately.
  configurationDigest @13 :UInt64;    # Of the bytes that it has; 0 for none.
  takesParts @14 :Bool;               # Whether the configuration may come as parts.
  takesCompressed @15 :Bool;          # Whether it may come compressed, or not at all.
  configurationUnwanted @16 :UInt64;  # Digest of bytes that it could not read, or that
                                      # it reads from the store; 0 for none.
  storeFails @17 :Bool;               # Whether the store does not respond to it.
  hostsDigest @18 :UInt64;            # Of the hosts that it knows; 0 if not stated.
  takesColdServers @19 :Bool;         # Whether the sender keeps cold servers.
  coldDigest @20 :UInt64;             # Of the cold servers that it knows; 0 for none.
  takesEvacuations @21 :Bool;         # Whether the sender follows evacuations.
  evacuationsRevision @22 :UInt64;    # Newest one of the store that it reflects.
  takesCoordinators @23 :Bool;        # Whether the sender keeps the list of
                                      # coordinators, and may be appointed.
  coordinatorsTerm @24 :UInt64;       # Of the list of coordinators that it has.
  coordinatorsVersion @25 :UInt64;
  cores @26 :Float32;                 # Processor cores that the sender may use.
  stopping @27 :Bool;                 # Whether the sender is about to end.
}

struct ServerEntry {
  server @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  warmupMs @6 :UInt32;
  bornMs @7 :UInt64;
  revision @8 :UInt64;
}

struct Documents {
  configuration @0 :Data;             # Empty when the sender has it.
  configurationRevision @1 :UInt64;
  assignment @2 :Data;                # Whole, or a delta against assignmentBase.
  assignmentRevision @3 :UInt64;
  servers @4 :List(ServerEntry);      # All, none when the digests are equal, or
                                      # those that differ from serversBase.
  ageMs @5 :UInt32;                   # Age of the responding host's view of the servers.
  hosts @6 :List(HostAddress);        # All, or none when the sender knows as many.
  leading @7 :Bool;                   # Whether the responding host may renew grants.
  serversRevision @8 :UInt64;         # Newest revision of an entry that was seen.
  assignmentBase @9 :UInt64;          # 0 when the assignment is whole.
  serversBase @10 :UInt64;            # Digest of the base of a delta of servers, or 0.
  serversGone @11 :List(Text);        # With serversBase: servers to remove.
  confirmed @12 :Bool;                # Whether the leader's lease is confirmed, so that
                                      # no other host can lead.
  limits @13 :List(ServerLimit);      # All, or none when the digests are equal.
  countsShares @14 :Bool;             # Whether the leader issues the permits for the
                                      # requester's shares of the limits.
  blocked @15 :List(BlockedRequest);  # All, or none when the digests are equal.
  configurationAgeMs @16 :UInt32;     # Since the store confirmed that the responding
                                      # host has the newest, plus 1; 0 if not stated.
  configurationParts @17 :List(DocumentPart);   # Of the requester's version.
  configurationDigest @18 :UInt64;    # Of the bytes; not set with configuration.
  configurationCompressed @19 :Data;  # Whole, by zlib.
  configurationAtStore @20 :Bool;     # Whether to read configurationRevision there.
  configurationBase @21 :UInt64;      # Digest of the version that the parts belong to.
  coldServers @22 :List(ColdServer);  # All, or none when the digests are equal.
  evacuated @23 :List(EvacuatedDataCentre);   # All; only if evacuationsRevision is
                                      # newer than the requester's.
  evacuationsRevision @24 :UInt64;    # 0 when the responding host follows none.
  coordinators @25 :List(Coordinator);  # All; only with coordinatorsTerm.
  coordinatorsTerm @26 :UInt64;       # Revision of the leader record; 0 when the
                                      # requester has the same list.
  coordinatorsVersion @27 :UInt64;    # Counts the lists of one term.
}

struct ColdServer {
  server @0 :Text;
  bornMs @1 :UInt64;
  remainingMs @2 :UInt32;     # For how much longer it takes few requests.
  order @3 :UInt64;           # Rises with each change for this incarnation.
}

struct EvacuatedDataCentre {
  dataCentre @0 :Text;
  ageMs @1 :UInt32;           # Since a host has heard of the evacuation.
}

struct Coordinator {
  service @0 :Text;
  dataCentre @1 :Text;        # Of the servers whose slots it lends.
  host @2 :Text;
  address @3 :Text;
}

struct SlotWanted {
  number @0 :UInt64;          # Of the lease; unique for the process that asks.
  service @1 :Text;
  dataCentre @2 :Text;        # Of the servers that may be used.
  server @3 :Text;            # The only one that may be used; empty for any.
  flow @4 :UInt64;            # Requests of one flow share a fair part of the slots.
  priority @5 :UInt16;        # 0 is the most urgent.
  returning @6 :Bool;         # Whether the caller came back when it was told to.
  objectiveLeftMs @7 :Int32;
  deadlineLeftMs @8 :Int32;
  excluded @9 :List(Text);    # Servers that have been tried.
  mayWait @10 :Bool;          # Whether the request may wait for a slot.
  fingerprint @11 :UInt64;    # What the request has in common with its repetitions.
}

struct Slot {
  state @0 :Text;             # granted, waiting, refused or not-coordinating.
  server @1 :Text;
  retryMs @2 :UInt32;         # When a refused caller should return.
  reason @3 :Text;
  expectedMs @4 :UInt32;      # Wait that was to be expected, and the longest one that
  allowedMs @5 :UInt32;       # was allowed, of a refused request.
}

struct SlotReturned {
  number @0 :UInt64;
  service @1 :Text;
  dataCentre @2 :Text;
  outcome @3 :Text;           # completed, rejected, no-response, failed or unused.
  durationMs @4 :Float32;     # From the request to the response.
  loadStated @5 :Bool;        # Whether the server stated the load below.
  running @6 :UInt32;
  waiting @7 :UInt32;
  slots @8 :UInt32;
  slowness @9 :Float32;       # 1 is as usual.
}

struct DocumentPart {
  startBytes @0 :UInt32;      # Bytes of the older version to copy.
  lengthBytes @1 :UInt32;
  new @2 :Data;               # Bytes that it does not have, if not empty.
}

struct HostAddress {
  host @0 :Text;
  address @1 :Text;
}
