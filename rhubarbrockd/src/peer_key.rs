//! What nodes prove to each other with their shared key.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Bytes of the authentication tag before each datagram.
pub const TAG_BYTES: usize = 16;

/// The shared key.
#[derive(Clone)]
pub struct PeerKey {
    mac: Hmac<Sha256>,
}

impl PeerKey {
    /// The key with these bytes.
    pub fn new(key: &str) -> PeerKey {
        let mac = Hmac::new_from_slice(key.as_bytes()).expect("HMAC takes keys of any length");
        PeerKey { mac }
    }

    /// Token for calls between nodes.
    pub fn token(&self) -> String {
        let mut mac = self.mac.clone();
        mac.update(b"rhubarbrock peer call");
        hex::encode(mac.finalize().into_bytes())
    }

    /// Whether a call brought the token.
    pub fn verify_token(&self, token: &[u8]) -> bool {
        self.token().as_bytes().ct_eq(token).into()
    }

    /// The datagram with its tag before it.
    pub fn tag_datagram(&self, datagram: &[u8]) -> Vec<u8> {
        let mut tagged = Vec::with_capacity(TAG_BYTES + datagram.len());
        tagged.extend_from_slice(&self.tag(datagram));
        tagged.extend_from_slice(datagram);
        tagged
    }

    /// The datagram behind a correct tag.
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
