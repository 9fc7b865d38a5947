//! Events are cut alike however their bytes arrive.

use bolero::check;
use forwarding::event_stream::{Position, Splitter, StreamError};

/// Ids and bytes of the events, and whether an unfinished one is left.
type Found = (Vec<(Option<u64>, Vec<u8>)>, bool);

fn events(pieces: &[&[u8]]) -> Found {
    let mut splitter = Splitter::default();
    let mut found = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next().unwrap() {
            found.push((event.id, event.bytes));
        }
    }
    (found, splitter.has_partial_event())
}

#[test]
fn only_whole_events_come_out() {
    let (found, has_partial_event) =
        events(&[b"id: 1\ndata: a\n", b"\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"]);
    assert_eq!(found.len(), 2);
    assert_eq!(found[0], (Some(1), b"id: 1\ndata: a\n\n".to_vec()));
    assert_eq!(found[1].0, Some(2));
    assert!(has_partial_event);
}

#[test]
fn pieces_do_not_matter() {
    check!().with_type::<(Vec<u8>, u8)>().for_each(|(bytes, cut)| {
        let cut = usize::from(*cut).min(bytes.len());
        let whole = events(&[bytes]);
        assert_eq!(whole, events(&[&bytes[..cut], &bytes[cut..]]));
        let bytewise: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(whole, events(&bytewise));
        let passed: usize = whole.0.iter().map(|(_, event)| event.len()).sum();
        assert!(passed <= bytes.len());
    });
}

#[test]
fn an_endless_event_is_an_error() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(splitter.next(), Err(StreamError::TooLong));
}

#[test]
fn gaps_and_repetitions_are_errors() {
    let mut position = Position::after(Some(4));
    assert_eq!(position.advance(Some(5)), Ok(()));
    assert_eq!(position.advance(Some(5)), Err(StreamError::OutOfOrder { last: 5, found: 5 }));
    assert_eq!(position.advance(Some(7)), Err(StreamError::OutOfOrder { last: 5, found: 7 }));
    assert_eq!(position.last(), Some(5));
}
