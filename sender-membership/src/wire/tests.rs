use super::*;

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
    newer[HEAD - 4..HEAD].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(decode(7, &newer).unwrap_err(), WireError::Version(VERSION + 1));
}
