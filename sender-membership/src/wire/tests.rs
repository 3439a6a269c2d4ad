use super::*;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};

fn hello_packet() -> Vec<u8> {
    let address = "127.0.0.1:9".parse().unwrap();
    encode(7, Identity { folder: 1, incarnation: 2, renewals: 3, address }, Packet::Hello).unwrap()
}

/// Every flipped bit and every truncation of a packet is rejected with an error, never with a panic.
#[test]
fn damaged_packets_are_rejected() {
    let valid = hello_packet();
    assert!(decode(7, &valid).is_ok());
    assert_eq!(decode(8, &valid).unwrap_err(), WireError::Fleet);
    for index in 0..valid.len() {
        for bit in 0..8 {
            let mut flipped = valid.clone();
            flipped[index] ^= 1 << bit;
            assert_eq!(decode(7, &flipped).unwrap_err(), WireError::Damaged, "bit {bit} of byte {index}");
        }
        assert!(decode(7, &valid[..index]).is_err());
    }
    let mut newer_version = valid;
    newer_version[0] = VERSION + 1;
    let checksum = checksum(&newer_version);
    newer_version[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(decode(7, &newer_version).unwrap_err(), WireError::Version(VERSION + 1));
}

/// Reads the recorded packets. Each line has a label, a space and the bytes in hexadecimal.
fn recorded() -> Vec<Vec<u8>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/packets.txt");
    let text = std::fs::read_to_string(path).unwrap();
    let parse_byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let parse_line =
        |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(parse_byte).collect();
    text.lines().map(parse_line).collect()
}

/// A packet of every kind.
fn packets() -> Vec<Packet> {
    let info = Info {
        name: "name".to_owned(),
        zone: "zone".to_owned(),
        machine: "machine".to_owned(),
        version: "0.1.0".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
    };
    let start = Change::Start { folder: 5, incarnation: 2, boot: 1 << 60, info: info.clone() };
    let request = HeartbeatMsg::Request(HeartbeatRequest { round: 70_000 });
    let message = Message::BLE(BLEMessage { from: 1, to: 2, msg: request });
    vec![
        Packet::Hello,
        Packet::Promise { founder: 300, incarnation: 4, boot: 5, info: info.clone() },
        Packet::Digest { fleet: 6, epoch: 7, number: 8 },
        Packet::Pull { epoch: 9, number: 10 },
        Packet::Changes { fleet: 11, epoch: 12, after: 13, changes: vec![start.clone(), start.clone()] },
        Packet::FullList(Box::new(MemberList::with_founders(14, 15, vec![(15, 16, 17, info)]))),
        Packet::Propose(start),
        Packet::Refused { boot: 18, incarnation: 19 },
        Packet::Voter { fleet: 20, epoch: 21, group: 22, message: Box::new(message) },
        Packet::Resync { group: 23 },
        Packet::Swim { fleet: 24, data: vec![25, 0, 255] },
    ]
}

/// Packets recorded from earlier versions decode and encode to the same bytes.
#[test]
fn recorded_packets_decode_and_encode_unchanged() {
    let address = "127.0.0.1:9".parse().unwrap();
    let from = Identity { folder: 1 << 50, incarnation: 2, renewals: 300, address };
    let fleet_hash = 0x0123_4567_89ab_cdef;
    let encoded: Vec<_> =
        packets().into_iter().map(|packet| encode(fleet_hash, from, packet).unwrap()).collect();
    assert_eq!(encoded, recorded());
    for bytes in recorded() {
        let (identity, packet) = decode(fleet_hash, &bytes).unwrap();
        assert_eq!(identity, from);
        assert_eq!(encode(fleet_hash, identity, packet).unwrap(), bytes);
    }
}
