@0xd2f1a6c07b3e4585;
# The protocol between entries. Every message carries a version; an entry
# answers an unknown version with an error.

struct Member {
  id @0 :Text;
  domain @1 :Text;
  callers @2 :Text;
  operators @3 :Text;
  peers @4 :Text;
  incarnation @5 :UInt64;
  beat @6 :UInt32;
  liveness @7 :Liveness;
  leaving @8 :Bool;
  heirs @9 :List(Heir);
  # Capacity in calls per second; 0 if not reported.
  weight @10 :UInt32;
  # Approximate calls made per second.
  load @11 :UInt32;
}

# Names the member that took over the tickets of one incarnation of a member.
struct Heir {
  of @0 :UInt64;
  member @1 :Text;
  life @2 :UInt64;
}

enum Liveness {
  alive @0;
  suspect @1;
  gone @2;
}

enum ProbeKind {
  ping @0;
  ack @1;
  relay @2;
}

# One datagram.
struct Probe {
  version @0 :UInt16;
  kind @1 :ProbeKind;
  seq @2 :UInt64;
  from @3 :Member;
  digest @4 :UInt64;
  confirmedMs @5 :Int64 = -1;
  load @6 :UInt32;
  news @7 :List(Member);
  target @8 :Text;
  # Version of the route book in use at the sender; 0 if none.
  book @9 :UInt64;
  cases @10 :List(Case);
  # Epoch of the store as the sender knows it, plus one; 0 if it knows none.
  epoch @11 :UInt64;
}

# Evidence against a request during which leafs terminated. Times are in milliseconds
# before the message.
struct Case {
  what @0 :UInt64;         # fingerprint of the request
  clearedMs @1 :Int64 = -1;  # when a leaf answered the request; -1 if none did
  episodes @2 :UInt32;
  strikes @3 :List(Strike);
}

struct Strike {
  leaf @0 :UInt32;  # mark of the leaf that terminated
  agoMs @1 :UInt32;
}

struct SubQuery {
  version @0 :UInt16;
  request @1 :UInt64;
  service @2 :Text;
  index @3 :UInt64;
  shards @4 :List(UInt32);
  body @5 :Data;
  deadlineUs @6 :UInt64;
}

struct Part {
  shard @0 :UInt32;
  rows @1 :Data;
}

enum Refusal {
  shed @0;
  connections @1;
  draining @2;
  noSnapshot @3;
  deadline @4;
}

struct SubAnswer {
  union {
    parts @0 :List(Part);
    refused @1 :Refusal;
    lost @2 :Void;
  }
  index @3 :UInt64;
}

struct Submission {
  version @0 :UInt16;
  ticket @1 :Text;
  organisation @2 :Text;
  service @3 :Text;
  call @4 :Text;
  body @5 :Data;
  deadlineUs @6 :UInt64;
}

struct Outcome {
  union {
    done @0 :Data;
    notRun @1 :UInt8;   # number of the reason
    unknown @2 :UInt8;  # number of the reason
  }
}

struct Handed {
  ticket @0 :Text;
  settled @1 :Bool;
  body @2 :UInt64;
  outcome @3 :Outcome;
}

struct ObjectVersion {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
}

struct Object {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;  # JSON
}

# A submission that a holder forwards to one leaf.
struct Dispatch {
  version @0 :UInt16;
  request @1 :UInt64;
  service @2 :Text;
  call @3 :Text;
  index @4 :UInt64;
  shard @5 :UInt32;
  body @6 :Data;
  deadlineUs @7 :UInt64;
}

struct Dispatched {
  union {
    done @0 :Data;
    refused @1 :Refusal;
    notSent @2 :Void;
    lost @3 :Void;
  }
}

interface Peer {
  query @0 (ask :SubQuery) -> (answer :SubAnswer);
  submit @1 (ask :Submission) -> (outcome :Outcome);
  members @2 () -> (members :List(Member));
  # Objects for which the callee has a newer version than the caller.
  objects @3 (have :List(ObjectVersion)) -> (objects :List(Object));
  # Objects that have just been accepted.
  push @4 (objects :List(Object)) -> ();
  # Tickets of a caller that is leaving; the callee's incarnation takes them over.
  adopt @5 (tickets :List(Handed)) -> (life :UInt64);
  dispatch @6 (ask :Dispatch) -> (answer :Dispatched);
  # Leafs marked as leaving in the platform's list.
  leaving @7 (leafs :List(Text)) -> ();
  # A batch of refusal records, in JSON, that the platform did not accept.
  records @8 (batch :Data) -> ();
}
