//! Ids that several modules share.

use std::str::FromStr;

use derive_more::Display;

/// Id of a node, drawn at random when its process starts.
pub type NodeId = u64;

/// The platform's number of an instance.
pub type InstanceId = u64;

/// An endpoint is named by the instance it runs on.
pub type EndpointId = InstanceId;

/// Number of one attempt to serve a request, unique within a node.
pub type AttemptId = u64;

/// Number of one call to a plain service, unique within a node.
pub type CallId = u64;

/// Offset of a record in a topic of the platform's log, from 1.
pub type Offset = u64;

/// Version of a release: the offset of its last note; 0 before the first.
pub type Version = Offset;

/// Hash of what a request asks for, the same at each sending.
pub type Fingerprint = u64;

/// Hash of one block of a prompt and all blocks before it.
pub type BlockHash = u64;

/// Id of an accepted request.
///
/// It names the node that accepted it, so that any other node finds it, and
/// holds 128 random bits, so that it cannot be guessed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("r{holder:016x}{secret:032x}")]
pub struct RequestId {
    /// Node that accepted the request.
    pub holder: NodeId,
    /// Random part.
    pub secret: u128,
}

/// Why a text is no request id.
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
