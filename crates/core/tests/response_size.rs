//! The size that is expected of a route's responses.

use pomeloreach_core::call::BODY_BYTES_MAX;
use pomeloreach_core::mesh::response_size::ExpectedSize;

fn after(responses: impl IntoIterator<Item = usize>) -> usize {
    let mut expected = ExpectedSize::default();
    responses.into_iter().for_each(|bytes| expected.record(bytes));
    expected.bytes()
}

/// A route whose large responses are expected to be small lets a crowd ask for more than fits; one whose
/// small responses are expected to be large refuses callers for nothing.
#[test]
fn expectation_follows_responses() {
    assert_eq!(after([]), 16 * 1024, "no response so far");
    assert_eq!(after([100]), 4 * 1024, "the least");
    assert_eq!(after([100, 540_000]), 540_000, "rises at once");
    assert!(after([540_000, 100]) > 500_000, "one small response among large ones");
    assert!(after(std::iter::once(540_000).chain([100; 100])) < 16 * 1024, "falls");
    assert_eq!(after([0; 3]), 4 * 1024);
    assert_eq!(after([usize::MAX]), BODY_BYTES_MAX);
}
