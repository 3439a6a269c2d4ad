use super::*;
use googletest::prelude::*;

#[googletest::test]
fn a_body_is_complete_whatever_the_size_of_its_chunks() {
    let text: Vec<u8> = (0..200).collect();
    for size in [1, 3, 40, 67, 100, 199, 200] {
        // Given a body in chunks of this size, with an empty chunk after each.
        let mut chunks = ChunkBuffer::default();
        for chunk in text.chunks(size) {
            chunks.push(Bytes::copy_from_slice(chunk));
            chunks.push(Bytes::new());
        }
        // Then the joined body equals the original.
        expect_that!(chunks.len(), eq(200));
        expect_that!(chunks.into_bytes(), eq(&Bytes::from(text.clone())), "chunks of {size} bytes");
    }
    expect_that!(ChunkBuffer::default().into_bytes(), eq(&Bytes::new()));
}
