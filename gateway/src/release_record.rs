//! Release in force as encoded in the store, for other gateways.

use std::io::{self, Read, Write};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum length of an inflated release, in bytes.
const MAX_RELEASE_BYTES: usize = 16 * 1024 * 1024;

/// Encoded release, empty if there is none; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReleaseRecord {
    encoded: Bytes,
    /// Deflated at the first use, as most releases are never handed over.
    deflated: Arc<OnceLock<Bytes>>,
}

impl ReleaseRecord {
    /// Record with the bytes that the store has.
    pub(crate) fn new(encoded: Bytes) -> ReleaseRecord {
        ReleaseRecord { encoded, deflated: Arc::default() }
    }

    /// The bytes that the store has.
    pub(crate) fn encoded(&self) -> &Bytes {
        &self.encoded
    }

    /// The same bytes, deflated; empty if there is no release.
    pub(crate) fn deflated(&self) -> &Bytes {
        self.deflated.get_or_init(|| match self.encoded.is_empty() {
            true => Bytes::new(),
            false => deflate(&self.encoded).into(),
        })
    }
}

fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector cannot fail.
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.unwrap_or_default()
}

/// Inflates a release. Fails if it is invalid or longer than [`MAX_RELEASE_BYTES`].
pub(crate) fn inflate(deflated: &[u8]) -> io::Result<Vec<u8>> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MAX_RELEASE_BYTES as u64 + 1);
    decoder.read_to_end(&mut inflated)?;
    if inflated.len() > MAX_RELEASE_BYTES {
        let error = format!("a release of more than {MAX_RELEASE_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, error));
    }
    Ok(inflated)
}
