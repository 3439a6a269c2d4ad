use super::*;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\rdata: three\r\r: no id\n\nid: 4\ndata: cut";

/// Splits the stream into two chunks; returns the forwarded bytes, the last event's id and the incomplete rest.
fn forwarded(cut: usize) -> (Vec<u8>, Option<Bytes>, Bytes) {
    let mut events = CompleteEvents::default();
    let mut all = events.push(&STREAM[..cut]).to_vec();
    all.extend_from_slice(&events.push(&STREAM[cut..]));
    let last = events.last_id().cloned();
    (all, last, events.take_incomplete())
}

#[test]
fn only_complete_events_are_forwarded_wherever_the_stream_is_split() {
    let complete_len = STREAM.len() - b"id: 4\ndata: cut".len();
    for cut in 0..=STREAM.len() {
        let (all, last, rest) = forwarded(cut);
        assert_eq!(all, &STREAM[..complete_len], "cut at {cut}");
        assert_eq!(last.as_deref(), Some(&b"3"[..]), "cut at {cut}");
        assert_eq!(&rest[..], b"id: 4\ndata: cut", "cut at {cut}");
    }
}

#[test]
fn events_are_recognized_in_chunks_of_one_byte() {
    let mut events = CompleteEvents::default();
    let mut all = Vec::new();
    for byte in STREAM {
        all.extend_from_slice(&events.push(&[*byte]));
    }
    assert_eq!(all, &STREAM[..STREAM.len() - b"id: 4\ndata: cut".len()]);
}

#[test]
fn the_id_of_an_incomplete_event_is_ignored() {
    let mut events = CompleteEvents::default();
    assert!(events.push(b"id: 1\ndata: x\n").is_empty());
    assert!(events.last_id().is_none());
    events.take_incomplete();
    assert_eq!(&events.push(b"id: 1\ndata: x\n\n")[..], b"id: 1\ndata: x\n\n");
    assert_eq!(events.last_id().map(|id| &id[..]), Some(&b"1"[..]));
}

#[test]
fn an_event_beyond_the_buffer_limit_is_forwarded_and_disables_resumption() {
    let mut events = CompleteEvents::default();
    assert!(!events.push(b"id: 1\n\n").is_empty());
    let long = vec![b'x'; MAX_BUFFERED_BYTES + 1];
    assert_eq!(events.push(&long).len(), long.len());
    assert!(events.last_id().is_none());
}
