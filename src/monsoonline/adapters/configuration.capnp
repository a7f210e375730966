@0xd3b1c6a84f27e915;

# Messages in which entries exchange their tables. Rows are JSON.

struct RowChange {
  revision @0 :UInt64;
  table @1 :Text;
  name @2 :Text;
  content @3 :Data;
}

struct DeltaRequest {
  since @0 :UInt64;
}

struct Delta {
  since @0 :UInt64;
  revision @1 :UInt64;
  checksum @2 :Text;
  ready @3 :Bool;
  complete @4 :Bool;
  changes @5 :List(RowChange);
}

struct WholeRequest {
  revision @0 :UInt64;
  offset @1 :UInt64;
}

struct Whole {
  revision @0 :UInt64;
  checksum @1 :Text;
  total @2 :UInt64;
  offset @3 :UInt64;
  content @4 :Data;
}

struct OfferReply {
  revision @0 :UInt64;
  ready @1 :Bool;
}
