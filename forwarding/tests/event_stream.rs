//! Events are split independently of how their bytes arrive.

use bolero::check;
use forwarding::event_stream::{Position, Splitter, StreamError};

/// Ids and bytes of the events, and whether an incomplete event is left.
type SplitEvents = (Vec<(Option<u64>, Vec<u8>)>, bool);

fn events(chunks: &[&[u8]]) -> SplitEvents {
    let mut splitter = Splitter::default();
    let mut found = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next().unwrap() {
            found.push((event.id, event.bytes));
        }
    }
    (found, splitter.has_partial_event())
}

#[test]
fn returns_only_complete_events() {
    let (found, has_partial_event) =
        events(&[b"id: 1\ndata: a\n", b"\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"]);
    assert_eq!(found.len(), 2);
    assert_eq!(found[0], (Some(1), b"id: 1\ndata: a\n\n".to_vec()));
    assert_eq!(found[1].0, Some(2));
    assert!(has_partial_event);
}

#[test]
fn splits_independently_of_chunk_boundaries() {
    check!().with_type::<(Vec<u8>, u8)>().for_each(|(bytes, cut)| {
        let cut = usize::from(*cut).min(bytes.len());
        let unsplit = events(&[bytes]);
        assert_eq!(unsplit, events(&[&bytes[..cut], &bytes[cut..]]));
        let bytewise: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(unsplit, events(&bytewise));
        let passed: usize = unsplit.0.iter().map(|(_, event)| event.len()).sum();
        assert!(passed <= bytes.len());
    });
}

/// Guards against counting line feeds and comments as progress of a stream.
#[test]
fn blank_lines_and_comments_are_no_events() {
    let text = b"\n\n\r\n: comment\n\nid: 1\ndata: a\n\n\n\n: comment\n\n";
    let (found, has_partial_event) = events(&[text]);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].0, Some(1));
    assert!(!has_partial_event);
}

/// Guards against bytes that are lost between two events or at the end of a stream.
#[test]
fn all_bytes_of_a_whole_stream_are_passed_on() {
    let text = b"\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n: end\n\n\n";
    let mut splitter = Splitter::default();
    let mut passed = Vec::new();
    for byte in text.chunks(1) {
        splitter.push(byte);
        while let Some(event) = splitter.next().unwrap() {
            passed.extend(event.bytes);
        }
    }
    assert!(!splitter.has_partial_event());
    passed.extend(splitter.take_rest());
    assert_eq!(passed, text);
}

#[test]
fn rejects_blank_lines_without_end() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'\n'; 300 * 1024]);
    assert_eq!(splitter.next(), Err(StreamError::TooLong));
}

#[test]
fn rejects_too_long_event() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(splitter.next(), Err(StreamError::TooLong));
}

#[test]
fn rejects_gaps_and_repetitions() {
    let mut position = Position::after(Some(4));
    assert_eq!(position.advance(Some(5)), Ok(()));
    assert_eq!(position.advance(Some(5)), Err(StreamError::OutOfOrder { last: 5, found: 5 }));
    assert_eq!(position.advance(Some(7)), Err(StreamError::OutOfOrder { last: 5, found: 7 }));
    assert_eq!(position.last(), Some(5));
}

/// Guards against taking the text of an error for an event of a resumed stream.
#[test]
fn resumed_stream_has_no_events_without_id() {
    let mut position = Position::after(Some(4));
    position.on_resumed();
    assert_eq!(position.advance(None), Err(StreamError::MissingId));
    assert_eq!(position.advance(Some(5)), Ok(()));
    assert!(position.is_resumable());
}

/// Guards against repeating events without id when a stream is resumed.
#[test]
fn stream_with_events_without_id_is_not_resumable() {
    let mut position = Position::after(None);
    assert_eq!(position.advance(Some(1)), Ok(()));
    assert!(position.is_resumable());
    assert_eq!(position.advance(None), Ok(()));
    assert_eq!(position.advance(Some(2)), Ok(()));
    assert!(!position.is_resumable());
}
