@0xb6f1c2a47d3e9580;
# Messages about at-most-once keys between entries.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct RecordedAnswer {
  status @0 :UInt16;
  reason @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

enum State {
  finished @0;
  running @1;
  neverStarted @2;
  expired @3;
  mismatch @4;
  undecided @5;
  refused @6;
}

struct RecordedRefusal {
  code @0 :Text;
  message @1 :Text;
  status @2 :UInt16;
  retryAfterMs @3 :Float64 = -1;  # negative for none
}

struct KeyQuery {
  key @0 :Text;
  fingerprint @1 :Text;
}

struct KeyReply {
  state @0 :State;
  answer @1 :RecordedAnswer;  # set only when finished
  refusal @2 :RecordedRefusal;  # set only when refused
}

struct FinishedRecord {
  key @0 :Text;
  fingerprint @1 :Text;
  answer @2 :RecordedAnswer;
}

struct RefusedRecord {
  key @0 :Text;
  fingerprint @1 :Text;
  refusal @2 :RecordedRefusal;
}

struct HandoverPart {
  incarnation @0 :Text;
  window @1 :UInt64;
  index @2 :UInt32;
  count @3 :UInt32;
  finished @4 :List(FinishedRecord);
  running @5 :List(Text);
  transfer @6 :UInt64;  # random; tells the parts of different handovers apart
  refused @7 :List(RefusedRecord);
}

struct HandoverReply {
  accepted @0 :Bool;
}

struct HandoverNotice {
  incarnation @0 :Text;
  holders @1 :List(Text);  # incarnations of the entries that have the records
}
