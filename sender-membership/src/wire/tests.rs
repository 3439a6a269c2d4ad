use super::*;
use omnipaxos::messages::ballot_leader_election::{BLEMessage, HeartbeatMsg, HeartbeatRequest};

fn bytes() -> Vec<u8> {
    let address = "127.0.0.1:9".parse().unwrap();
    encode(7, Identity { folder: 1, incarnation: 2, returns: 3, address }, Packet::Hello).unwrap()
}

/// Bad input: each flipped bit and each cut is told from a sound packet, and never a panic.
#[test]
fn damage_is_told_from_packets() {
    let sound = bytes();
    assert!(decode(7, &sound).is_ok());
    assert_eq!(decode(8, &sound).unwrap_err(), WireError::Fleet);
    for at in 0..sound.len() {
        for bit in 0..8 {
            let mut flipped = sound.clone();
            flipped[at] ^= 1 << bit;
            assert_eq!(decode(7, &flipped).unwrap_err(), WireError::Damaged, "bit {bit} of byte {at}");
        }
        assert!(decode(7, &sound[..at]).is_err());
    }
    let mut newer = sound;
    newer[0] = VERSION + 1;
    let sum = checksum(&newer);
    newer[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(decode(7, &newer).unwrap_err(), WireError::Version(VERSION + 1));
}

/// Recorded packets, a line each: a word on it, and its bytes in hexadecimal digits.
fn recorded() -> Vec<Vec<u8>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded/packets.txt");
    let text = std::fs::read_to_string(path).unwrap();
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let bytes = |line: &str| line.split_once(' ').unwrap().1.as_bytes().chunks(2).map(byte).collect();
    text.lines().map(bytes).collect()
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
        Packet::Steps { fleet: 11, epoch: 12, after: 13, changes: vec![start.clone(), start.clone()] },
        Packet::FullList(Box::new(MemberList::found(14, 15, vec![(15, 16, 17, info)]))),
        Packet::Propose(start),
        Packet::Refused { boot: 18, incarnation: 19 },
        Packet::Voter { fleet: 20, epoch: 21, group: 22, message: Box::new(message) },
        Packet::Resync { group: 23 },
        Packet::Swim { fleet: 24, data: vec![25, 0, 255] },
    ]
}

/// A packet's bytes are those of before, and what was sent before is read and told again as it was.
#[test]
fn packets_sent_before_are_read_and_written_alike() {
    let address = "127.0.0.1:9".parse().unwrap();
    let from = Identity { folder: 1 << 50, incarnation: 2, returns: 300, address };
    let fleet = 0x0123_4567_89ab_cdef;
    let written: Vec<_> = packets().into_iter().map(|packet| encode(fleet, from, packet).unwrap()).collect();
    assert_eq!(written, recorded());
    for bytes in recorded() {
        let (identity, packet) = decode(fleet, &bytes).unwrap();
        assert_eq!(identity, from);
        assert_eq!(encode(fleet, identity, packet).unwrap(), bytes);
    }
}
