@0xb7d02c4e9f6a1835;
# Calls of an entry host to the process that owns the dispatching.

interface Owner {
  submitted @0 (job :Text, record :Data) -> (digest :Digest);
  # Tells of a job; the record is what the store holds of it, the JSON form of `JobEntry`.
  # The answer carries the owner's newest forecasts, null before the first.

  cancelled @1 (job :Text) -> ();
  # Tells of a cancel that the store holds.

  state @2 (job :Text) -> (state :State, digest :Digest);

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

struct Digest {
  # Forecasts of an owner; `src/dispatch/forecast` explains the fields.

  fence @0 :UInt64;
  # Fencing token of the owner.

  ageMs @1 :UInt64;
  queues @2 :List(QueueForecast);
  pools @3 :List(PoolLimit);
}

struct QueueForecast {
  queue @0 :Text;
  waitMs @1 :UInt64;
  errorMs @2 :UInt64;
  rateMilli @3 :UInt64;
  ratioMilli @4 :UInt64;
}

struct PoolLimit {
  pool @0 :Text;
  cpuMilli @1 :UInt64;
  memoryMb @2 :UInt64;
  gpus @3 :UInt64;
}
