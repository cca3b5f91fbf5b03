@0xb7d02c4e9f6a1835;
# Calls of an entry host to the process that owns the dispatching.

interface Owner {
  submitted @0 (job :Text, record :Data) -> ();
  # Tells of a job; the record is what the store holds of it, the JSON form of `JobEntry`.

  cancelled @1 (job :Text) -> ();
  # Tells of a cancel that the store holds.

  state @2 (job :Text) -> (state :State);

  waiting @3 (queue :Text) -> (count :UInt32);
  # Accepted jobs of a queue of which no task has started.
}

enum State {
  unknown @0;
  queued @1;
  running @2;
  completed @3;
  failed @4;
  cancelled @5;
}
