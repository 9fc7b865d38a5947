//! Bodies of HTTP messages.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;

/// Body of a response to a caller; the body type of the router.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Body with fixed content.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Body that is sent piece by piece.
pub(crate) fn stream(pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    use futures_util::StreamExt;
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}
