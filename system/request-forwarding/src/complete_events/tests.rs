use super::*;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\rdata: three\r\r: no id\n\nid: 4\ndata: cut";

/// What is passed on in all, and the id of the last event of it, with the stream cut into two.
fn passed(cut: usize) -> (Vec<u8>, Option<Bytes>, Bytes) {
    let mut events = CompleteEvents::default();
    let mut all = events.take(&STREAM[..cut]).to_vec();
    all.extend_from_slice(&events.take(&STREAM[cut..]));
    let last = events.last_id().cloned();
    (all, last, events.rest())
}

#[test]
fn events_are_passed_on_whole_wherever_the_stream_is_cut() {
    let whole = STREAM.len() - b"id: 4\ndata: cut".len();
    for cut in 0..=STREAM.len() {
        let (all, last, rest) = passed(cut);
        assert_eq!(all, &STREAM[..whole], "cut at {cut}");
        assert_eq!(last.as_deref(), Some(&b"3"[..]), "cut at {cut}");
        assert_eq!(&rest[..], b"id: 4\ndata: cut", "cut at {cut}");
    }
}

#[test]
fn one_byte_at_a_time_makes_no_difference() {
    let mut events = CompleteEvents::default();
    let mut all = Vec::new();
    for byte in STREAM {
        all.extend_from_slice(&events.take(&[*byte]));
    }
    assert_eq!(all, &STREAM[..STREAM.len() - b"id: 4\ndata: cut".len()]);
}

#[test]
fn an_event_that_broke_off_tells_no_id() {
    let mut events = CompleteEvents::default();
    assert!(events.take(b"id: 1\ndata: x\n").is_empty());
    assert!(events.last_id().is_none());
    events.rest();
    assert_eq!(&events.take(b"id: 1\ndata: x\n\n")[..], b"id: 1\ndata: x\n\n");
    assert_eq!(events.last_id().map(|id| &id[..]), Some(&b"1"[..]));
}

#[test]
fn an_event_that_is_too_long_is_passed_on_and_ends_resumption() {
    let mut events = CompleteEvents::default();
    assert!(!events.take(b"id: 1\n\n").is_empty());
    let long = vec![b'x'; MAX_BUFFERED_BYTES + 1];
    assert_eq!(events.take(&long).len(), long.len());
    assert!(events.last_id().is_none());
}
