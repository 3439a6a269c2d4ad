use super::*;

const STREAM: &[u8] =
    b"versions: 3\nid: 1\ndata: one\n\nid: 2\r\ndata:two\r\ndata: more\r\n\r\n: a comment\n\nid: 3\ndata\n\n";

#[test]
fn output_does_not_depend_on_chunk_boundaries() {
    for cut in 0..=STREAM.len() {
        for second in cut..=STREAM.len() {
            let mut scan = EventScan::new(true);
            scan.push(&STREAM[..cut]);
            scan.push(&STREAM[cut..second]);
            scan.push(&STREAM[second..]);
            assert!(scan.between_events());
            assert_eq!(scan.delivered_events(), 3, "cut at {cut} and {second}");
            assert_eq!(scan.into_output(), b"one\ntwo\nmore\n\n", "cut at {cut} and {second}");
        }
    }
}

#[test]
fn an_incomplete_event_counts_as_delivered_but_is_not_output() {
    let mut scan = EventScan::new(true);
    scan.push(b"id: 1\ndata: one\n\nid: 2\ndata: tw");
    assert_eq!(scan.delivered_events(), 2);
    assert!(!scan.between_events());
    assert_eq!(scan.into_output(), b"one\n");
}

#[test]
fn without_output_collection_events_are_only_counted() {
    let mut scan = EventScan::new(false);
    scan.push(STREAM);
    assert_eq!((scan.delivered_events(), scan.into_output()), (3, vec![]));
}
