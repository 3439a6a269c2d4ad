//! How a body is put together.

use super::*;
use googletest::prelude::*;

#[googletest::test]
fn a_body_is_whole_in_however_many_pieces_it_comes() {
    let text: Vec<u8> = (0..200).collect();
    for size in [1, 3, 40, 67, 100, 199, 200] {
        // Given a body in pieces of this size, an empty one among them.
        let mut pieces = ChunkBuffer::default();
        for piece in text.chunks(size) {
            pieces.add(Bytes::copy_from_slice(piece));
            pieces.add(Bytes::new());
        }
        // Then it is what was sent.
        expect_that!(pieces.len(), eq(200));
        expect_that!(pieces.whole(), eq(&Bytes::from(text.clone())), "pieces of {size}");
    }
    expect_that!(ChunkBuffer::default().whole(), eq(&Bytes::new()));
}
