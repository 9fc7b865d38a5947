//! Authentication between nodes with a shared key.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of the authentication tag that precedes each datagram, in bytes.
pub const TAG_BYTES: usize = 16;

/// Key shared by all nodes, for HMAC-SHA-256.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// Uses the bytes of `key` as the key.
    pub fn new(key: &str) -> PeerKey {
        let mac = Hmac::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
        PeerKey { mac }
    }

    /// Token that authenticates calls between nodes, in hexadecimal.
    pub fn token(&self) -> String {
        let mut mac = self.mac.clone();
        mac.update(b"rhubarbrock peer call");
        hex::encode(mac.finalize().into_bytes())
    }

    /// Whether `token` is correct; compares in constant time.
    pub fn verify_token(&self, token: &[u8]) -> bool {
        self.token().as_bytes().ct_eq(token).into()
    }

    /// Returns the datagram preceded by its tag.
    pub fn tag_datagram(&self, datagram: &[u8]) -> Vec<u8> {
        let mut tagged = Vec::with_capacity(TAG_BYTES + datagram.len());
        tagged.extend_from_slice(&self.tag(datagram));
        tagged.extend_from_slice(datagram);
        tagged
    }

    /// Returns the datagram without its tag; `None` if the tag is wrong or incomplete.
    pub fn verify_datagram<'a>(&self, tagged: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, datagram) = tagged.split_at_checked(TAG_BYTES)?;
        let is_correct: bool = self.tag(datagram).ct_eq(tag).into();
        is_correct.then_some(datagram)
    }

    fn tag(&self, datagram: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(b"rhubarbrock datagram");
        mac.update(datagram);
        let full_tag = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }
}
