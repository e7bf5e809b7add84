@0xb7a1c4de52f09831;
# The protocol by which entries that watch the store pass on what they hear.

struct Item {
  name @0 :Text;
  deleted @1 :Bool;
  value @2 :Data;  # JSON; empty if deleted, or if the object can't be read
}

struct Batch {
  # Point in the store's history up to which this tells all.
  revision @0 :UInt64;
  packed @1 :Data;  # Items as a message, compressed; empty if there are none
}

struct Items {
  items @0 :List(Item);
}

struct Reply {
  union {
    batch @0 :Batch;
    # The callee doesn't remember that far back: read everything.
    historyGone @1 :Void;
    # The callee has lost the store, or has heard nothing yet.
    lost @2 :Void;
    # The callee hears of the store from the entry at this address.
    elsewhere @3 :Text;
  }
}

interface Feeds {
  # The store's revision, as the callee heard it last, and the version of its book,
  # which holds whatever became of the store; 0 if it has none.
  pulse @0 () -> (reply :Reply, book :UInt64);
  # Every object of a feed.
  all @1 (feed :Text) -> (reply :Reply);
  # Waits for objects to change after a revision.
  follow @2 (feed :Text, after :UInt64, waitMs :UInt32) -> (reply :Reply);
  # What makes the callee's book of that version, or of nothing: a packed delta, empty
  # if the callee has nothing newer.
  book @3 (have :UInt64) -> (version :UInt64, delta :Data);
}
