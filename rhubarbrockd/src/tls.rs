//! TLS for callers, from PEM files.

use std::sync::Arc;

use anyhow::Context;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings;

/// Creates an acceptor with the certificate chain and private key of these files, for HTTP/2 and
/// HTTP/1.1.
///
/// Fails if a file cannot be read, there is no certificate, or key and certificate do not match.
pub fn acceptor(files: &settings::TlsFiles) -> anyhow::Result<TlsAcceptor> {
    let certificate = files.certificate.display();
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("cannot read {certificate} (--tls-certificate)"))?;
    anyhow::ensure!(!chain.is_empty(), "{certificate} contains no certificate (--tls-certificate)");
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .with_context(|| format!("cannot read {} (--tls-key)", files.key.display()))?;
    let mut config =
        ServerConfig::builder().with_no_client_auth().with_single_cert(chain, key).context(
            "the private key (--tls-key) does not match the certificate (--tls-certificate)",
        )?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
