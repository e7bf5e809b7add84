@0xb7a1c4de52f09831;
# The protocol by which entries that watch the store forward changes to other entries.

struct Item {
  name @0 :Text;
  deleted @1 :Bool;
  value @2 :Data;  # JSON; empty if the object was deleted or is unreadable
}

struct Batch {
  # Store revision up to which this is complete.
  revision @0 :UInt64;
  packed @1 :Data;  # Compressed message of items; empty if there are none
  # Epoch of the revision plus one; 0 if the callee doesn't know it.
  epoch @2 :UInt64;
}

struct Items {
  items @0 :List(Item);
}

struct Reply {
  union {
    batch @0 :Batch;
    # The revision is older than the callee's history: read everything.
    historyGone @1 :Void;
    # The callee has lost its connection to the store, or has received nothing yet.
    lost @2 :Void;
    # The callee itself receives changes from the entry at this address.
    elsewhere @3 :Text;
  }
}

interface Feeds {
  # The latest store revision known to the callee, and the version of its route book,
  # which is valid regardless of the state of the store; 0 if it has none.
  pulse @0 () -> (reply :Reply, book :UInt64);
  # All objects of a feed.
  all @1 (feed :Text) -> (reply :Reply);
  # Waits until objects change after a revision, whose epoch is sent as in Batch.
  follow @2 (feed :Text, after :UInt64, waitMs :UInt32, epoch :UInt64) -> (reply :Reply);
  # A packed delta from that version, or from nothing, to the callee's route book; empty
  # if the callee has nothing newer.
  book @3 (have :UInt64) -> (version :UInt64, delta :Data);
  # Asks the callee, as the home of an organisation, for tokens under its limit, each of which
  # lets one request run; after a refusal, the time until the next one. `used` is the number of
  # requests that the caller admitted without the callee since it last asked.
  tokens @4 (organisation :Text, want :UInt32, used :UInt32) -> (isHome :Bool, granted :UInt32, afterMs :UInt32,
    # Address of the home that the callee believes in, if that is another.
    elsewhere :Text);
}
