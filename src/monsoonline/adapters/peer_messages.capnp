@0xd0c1a6b7f2e39485;
# Messages between entries. Fields are only ever added, with a new number each, so
# that entries of two versions understand each other during a replacement.

struct Envelope {
  version @0 :UInt16;
  keyId @1 :UInt16;
  sender @2 :UInt64;     # incarnation
  sequence @3 :UInt64;   # grows with each message of the sender
  code @4 :Data;         # HMAC-SHA256 over the other fields, first 16 bytes
  body @5 :Data;         # a serialized Gossip or Exchange
}

struct MemberRecord {
  incarnation @0 :UInt64;
  revision @1 :UInt64;
  generation @2 :UInt32;
  condition @3 :Condition;
  ready @4 :Bool;
  leaving @5 :Bool;
  name @6 :Text;
  address @7 :Text;
  peerAddress @8 :Text;
  failureDomain @9 :Text;
  region @10 :Text;
}

enum Condition {
  alive @0;
  suspect @1;
  gone @2;
}

struct SharedItem {
  version @0 :UInt64;
  owner @1 :UInt64;
  ageMs @2 :Float32;
  kind @3 :Text;
  key @4 :Text;
  payload @5 :Data;
}

struct Gossip {
  kind @0 :Kind;
  wantsProfiles @1 :Bool;
  probe @2 :UInt32;
  subject @3 :UInt64;
  sender @4 :MemberRecord;
  checksum @5 :Text;
  target @6 :Text;
  members @7 :List(MemberRecord);
  items @8 :List(SharedItem);
  cursor @9 :UInt64;

  enum Kind {
    probe @0;
    reply @1;
    probeRequest @2;
  }
}

struct Exchange {
  # One message of a peer connection.
  kind @0 :Kind;
  nonce @1 :Data;        # in greetings
  name @2 :Text;         # sender's name in greetings, request kind in requests
  number @3 :UInt64;     # request number, repeated by its reply
  payload @4 :Data;
  error @5 :Text;        # code, in failures

  enum Kind {
    greeting @0;
    request @1;
    reply @2;
    failure @3;
  }
}
