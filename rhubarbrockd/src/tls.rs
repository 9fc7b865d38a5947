//! TLS for callers, from PEM files.

use std::sync::Arc;

use anyhow::Context;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings;

/// Acceptor with the certificate and key of these files.
pub fn acceptor(files: &settings::TlsFiles) -> anyhow::Result<TlsAcceptor> {
    let certificate = files.certificate.display();
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .with_context(|| format!("cannot read {certificate} (--tls-certificate)"))?;
    anyhow::ensure!(!chain.is_empty(), "{certificate} holds no certificate (--tls-certificate)");
    let key = PrivateKeyDer::from_pem_file(&files.key)
        .with_context(|| format!("cannot read {} (--tls-key)", files.key.display()))?;
    let mut config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context("certificate and key do not fit together")?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
