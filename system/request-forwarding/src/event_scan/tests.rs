use super::*;

const STREAM: &[u8] =
    b"versions: 3\nid: 1\ndata: one\n\nid: 2\r\ndata:two\r\ndata: more\r\n\r\n: a comment\n\nid: 3\ndata\n\n";

#[test]
fn output_is_the_same_wherever_the_chunks_are_cut() {
    for cut in 0..=STREAM.len() {
        for second in cut..=STREAM.len() {
            let mut scan = EventScan::new(true);
            scan.take(&STREAM[..cut]);
            scan.take(&STREAM[cut..second]);
            scan.take(&STREAM[second..]);
            assert!(scan.between_events());
            assert_eq!(scan.handed(), 3, "cut at {cut} and {second}");
            assert_eq!(scan.into_output(), b"one\ntwo\nmore\n\n", "cut at {cut} and {second}");
        }
    }
}

#[test]
fn an_event_that_has_only_begun_counts_as_handed_but_is_not_output() {
    let mut scan = EventScan::new(true);
    scan.take(b"id: 1\ndata: one\n\nid: 2\ndata: tw");
    assert_eq!(scan.handed(), 2);
    assert!(!scan.between_events());
    assert_eq!(scan.into_output(), b"one\n");
}

#[test]
fn without_keeping_events_are_only_counted() {
    let mut scan = EventScan::new(false);
    scan.take(STREAM);
    assert_eq!((scan.handed(), scan.into_output()), (3, vec![]));
}
