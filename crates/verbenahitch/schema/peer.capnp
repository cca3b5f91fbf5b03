@0xc1d6a4f0b8e35a27;
# Messages between the system's own processes.

interface Login {
  # Bootstrap capability of every process.
  login @0 (token :Text) -> (node :Node);
}

interface Node {
  hello @0 (from :Member)
      -> (self :Member, known :List(Member), beats :List(Beat));
  # Heartbeat: the answer tells of all processes by their beats, and of a few whole.

  declarations @1 (above :UInt64) -> (revision :UInt64, document :Text);
  # Newest declarations if their revision is above the given one, else revision 0.

  announce @2 (revision :UInt64, document :Text) -> (inForce :UInt64);
  # Hands over newer declarations; answers the revision then in force.

  ask @3 (shard :Text, request :Request) -> (answer :Text);
  # Asks the owner of a shard; the answer is the JSON form of `Answer`.

  renew @4 (session :Text) -> (renewed :Bool);
  # Renews a store session on behalf of a process that cannot reach the store.
}

struct Member {
  name @0 :Text;
  zone @1 :Text;
  role @2 :Role;
  address @3 :Text;
  incarnation @4 :UInt64;
  # Wall-clock start of the process in milliseconds; a restart has a higher one.
  beat @5 :UInt64;
  # Counts the records that the incarnation has made of itself.
  revision @6 :UInt64;
  # Revision of the declarations in force.
  storeAge @7 :UInt64;
  # Milliseconds since the store last answered, the largest number for never.
  permitLeft @8 :UInt64;
  # Milliseconds for which the process may still start tasks.
  shards @9 :List(OwnedShard);
  leaving @10 :Bool;
  age @11 :UInt64;
  # Milliseconds since the sender last heard of this beat.
}

struct Beat {
  # What changes with every heartbeat of a process that the receiver knows.
  id @0 :UInt64;
  # Hash of name, role and incarnation.
  revision @1 :UInt64;
  beat @2 :UInt32;
  age @3 :UInt32;
  storeAge @4 :UInt32;
  permitLeft @5 :UInt32;
  # As in `Member`, in milliseconds, the largest number for never.
}

struct OwnedShard {
  shard @0 :Text;
  epoch @1 :UInt64;
  queued @2 :UInt32;
  running @3 :UInt32;
}

enum Role {
  gateway @0;
  scheduler @1;
}

struct Request {
  union {
    submit @0 :Submit;
    cancel @1 :Text;
    job @2 :Text;
    shard @3 :Void;
    explain @4 :Task;
    adopt @5 :Text;
    # JSON form of a job's record.
  }
}

struct Submit {
  id @0 :Text;
  profile @1 :Text;
  tasks @2 :UInt32;
  runMs @3 :UInt64;
  payload @4 :Text;
}

struct Task {
  job @0 :Text;
  index @1 :UInt32;
}
