@0xd1f0c6a83e5b7294;
# What the system's processes tell one another. An optional field that is left out is a null pointer.

struct Frame {
  # Of the call, chosen by the caller; 0 with pushes.
  number @0 :UInt64;
  union {
    # Not sent: so that bytes of zeros are no frame.
    nothing @1 :Void;
    call @2 :Call;
    answer @3 :Answer;
    push @4 :Push;
  }
}

struct Ballot {
  round @0 :UInt64;
  proposer @1 :UInt32;
  life @2 :UInt64;
}

struct RegisterValue {
  epoch @0 :UInt64;
  voters @1 :List(UInt32);
  payload @2 :Data;
}

struct AcceptedValue {
  ballot @0 :Ballot;
  value @1 :RegisterValue;
}

struct RegisterRequest {
  union {
    prepare @0 :Ballot;
    accept @1 :AcceptedValue;
    # The newest ballot that the asker knows to be chosen.
    poll @2 :Ballot;
    fetch @3 :Void;
  }
}

struct RegisterReply {
  union {
    promised :group {
      # Null: nothing accepted.
      value @0 :AcceptedValue;
    }
    accepted @1 :Void;
    refused @2 :Ballot;
    unfit @3 :Void;
    polled :group {
      # Null: nothing accepted.
      accepted @4 :Ballot;
      chosen @5 :Ballot;
    }
    fetched :group {
      # Null: nothing accepted.
      value @6 :AcceptedValue;
    }
  }
}

struct Store {
  name @0 :Text;
  ip @1 :UInt32;
  zone @2 :Text;
  disk @3 :UInt64;
  # When it joins: whether it was started with the fleet, for the fleet's first time.
  founder @4 :Bool;
}

struct SocketAddress {
  ip @0 :UInt32;
  port @1 :UInt16;
}

# Of a list of endpoints: the asker's fence and the number of its reading.
struct Stamp {
  fence @0 :UInt64;
  reading @1 :UInt64;
}

struct Endpoint {
  enum State {
    ready @0;
    draining @1;
  }
  instanceId @0 :Text;
  service @1 :Text;
  ip @2 :UInt32;
  port @3 :UInt16;
  state @4 :State;
  zone @5 :Text;
  capacitySlots @6 :UInt32;
}

struct Turn {
  attempt @0 :Text;
  # Null: the first of its chain.
  previous @1 :Text;
  input @2 :Data;
  output @3 :Data;
  retentionMs @4 :UInt64;
  holders @5 :List(UInt64);
}

struct Reservation {
  attempt @0 :UInt64;
  tokens @1 :UInt32;
}

struct Account {
  program @0 :Text;
  reservations @1 :List(Reservation);
}

struct Order {
  union {
    putConfig :group {
      expected @0 :UInt64;
      version @1 :UInt64;
      # SHA-256 of the body.
      digest @2 :Data;
      body @3 :Data;
    }
    # The name of the machine.
    retire @4 :Text;
  }
}

# On an order: the first four on a configuration, the others on a retirement.
struct Verdict {
  union {
    committed @0 :Void;
    # The current version.
    versionMismatch @1 :UInt64;
    notNewer @2 :Void;
    indeterminate @3 :Void;
    active @4 :Void;
    completed @5 :Void;
    serving @6 :Void;
    unknown @7 :Void;
    # How many machines would remain.
    tooFew @8 :UInt32;
  }
}

struct Call {
  union {
    register @0 :RegisterRequest;
    joinCore :group {
      ip @1 :UInt32;
    }
    joinStorage @2 :Store;
    filled :group {
      disk @3 :UInt64;
      epoch @4 :UInt64;
    }
    subscribe :group {
      ip @5 :UInt32;
      zone @6 :Text;
      urgent @7 :Bool;
      value @8 :Ballot;
      list @9 :Stamp;
    }
    reserve :group {
      epoch @10 :UInt64;
      program @11 :Text;
      attempt @12 :UInt64;
      tokens @13 :UInt32;
    }
    settle :group {
      epoch @14 :UInt64;
      program @15 :Text;
      attempt @16 :UInt64;
      tokens @17 :UInt32;
    }
    readAccount :group {
      epoch @18 :UInt64;
      program @19 :Text;
    }
    keepTurn :group {
      epoch @20 :UInt64;
      turn @21 :Turn;
      # The endpoint that served the turn; null: not known.
      servedBy @32 :Text;
    }
    readChain :group {
      epoch @22 :UInt64;
      attempt @23 :Text;
    }
    fill :group {
      epoch @24 :UInt64;
      disk @25 :UInt64;
      cursor @26 :Data;
    }
    fillDone :group {
      epoch @27 :UInt64;
      disk @28 :UInt64;
    }
    # The topic.
    inspect @29 :Text;
    # An operator's order, forwarded to the control node that proposes.
    order @30 :Order;
    # A call of the coordination service, encoded by postcard.
    coordination @31 :Data;
  }
}

struct Answer {
  union {
    register @0 :RegisterReply;
    done @1 :Void;
    unready @2 :Void;
    redirect @3 :List(SocketAddress);
    # The epoch that the asked one knows.
    wrongEpoch @4 :UInt64;
    account @5 :List(Reservation);
    chain :group {
      text @6 :Data;
      # Null: nothing is missing.
      missing @7 :Text;
      # The endpoint that served the turn asked for; null: not known.
      servedBy @15 :Text;
    }
    absent :group {
      complete @8 :Bool;
    }
    records :group {
      turns @9 :List(Turn);
      accounts @10 :List(Account);
      # Null: there is no more.
      cursor @11 :Data;
    }
    # JSON.
    view @12 :Text;
    verdict @13 :Verdict;
    # An answer of the coordination service, encoded by postcard.
    coordination @14 :Data;
  }
}

struct Push {
  union {
    beat :group {
      ageMs @0 :UInt32;
      proxies @1 :UInt32;
    }
    value :group {
      ballot @2 :Ballot;
      voters @3 :List(UInt32);
      payload @4 :Data;
    }
    list :group {
      stamp @5 :Stamp;
      endpoints @6 :List(Endpoint);
    }
    listChange :group {
      base @7 :Stamp;
      stamp @8 :Stamp;
      put @9 :List(Endpoint);
      gone @10 :List(Text);
    }
  }
}
