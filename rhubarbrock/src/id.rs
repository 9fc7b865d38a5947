//! Identifiers that several modules share.

use std::str::FromStr;

use derive_more::Display;

/// Id of a node, drawn at random when its process starts.
pub type NodeId = u64;

/// Number that the platform assigns to an instance.
pub type InstanceId = u64;

/// Id of an endpoint: that of the instance it runs on.
pub type EndpointId = InstanceId;

/// Number of one attempt to serve a request, unique within a node.
pub type AttemptId = u64;

/// Number of one call to a plain service, unique within a node.
pub type CallId = u64;

/// Offset of a record in a topic of the platform's log; the first record has 1.
pub type Offset = u64;

/// Version of a release: the offset of the last note in it; 0 before the first note.
pub type Version = Offset;

/// Hash of a request's content; equal each time that the same request is sent.
pub type Fingerprint = u64;

/// Hash of one block of a prompt, chained with all blocks before it.
pub type BlockHash = u64;

/// Id of an accepted request.
///
/// It contains the id of the node that accepted the request, so that any other
/// node can find it, and 128 random bits, so that it cannot be guessed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("r{holder:016x}{secret:032x}")]
pub struct RequestId {
    /// Node that accepted the request.
    pub holder: NodeId,
    /// Random bits that make the id unguessable.
    pub secret: u128,
}

/// Error returned for a text that is not a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("a request id is the letter r and 48 lower-case hexadecimal digits")]
pub struct InvalidRequestId;

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<RequestId, InvalidRequestId> {
        let digits = text.strip_prefix('r').ok_or(InvalidRequestId)?;
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if digits.len() != 48 || !digits.bytes().all(is_digit) {
            return Err(InvalidRequestId);
        }
        let holder = u64::from_str_radix(&digits[..16], 16).map_err(|_| InvalidRequestId)?;
        let secret = u128::from_str_radix(&digits[16..], 16).map_err(|_| InvalidRequestId)?;
        Ok(RequestId { holder, secret })
    }
}
