//! JSON over HTTP, with timeouts and errors that tell whether a call may have had an effect.

use std::time::Duration;

use ::http::{Method, Request, StatusCode, Uri};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of one call, including the connect.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer body that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Characters of an error answer's body that are shown.
const MAX_SHOWN_BODY_CHARS: usize = 200;

/// A base URL without a trailing slash.
pub(crate) type BaseUrl = String;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// The request was not sent; the call had no effect.
    #[display("{url}: cannot connect: {cause}")]
    Connect { url: String, cause: String },
    /// No complete answer; the call may have had its effect.
    #[display("{url}: no answer: {cause}")]
    NoAnswer { url: String, cause: String },
    /// An answer with an unexpected status.
    #[display("{url}: answered {status}: {body}")]
    Status { url: String, status: StatusCode, body: String },
    /// An answer whose body is not the expected JSON.
    #[display("{url}: unexpected answer: {cause}")]
    InvalidAnswer { url: String, cause: String },
}

/// A complete answer of any status.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) url: String,
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Deserializes the body, whatever the status.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::InvalidAnswer {
            url: self.url.clone(),
            cause: error.to_string(),
        })
    }

    /// The error for an answer with an unexpected status.
    pub(crate) fn status_error(&self) -> CallError {
        let body = String::from_utf8_lossy(&self.body).chars().take(MAX_SHOWN_BODY_CHARS).collect();
        CallError::Status { url: self.url.clone(), status: self.status, body }
    }
}

/// HTTP client; one serves all calls of a command.
#[derive(Debug)]
pub(crate) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Connections are opened on demand.
    pub(crate) fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Client { inner: legacy::Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a GET and deserializes the body; any status but 200 is an error.
    pub(crate) async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T, CallError> {
        let answer = self.get(url).await?;
        if answer.status == StatusCode::OK { answer.json() } else { Err(answer.status_error()) }
    }

    /// Sends a GET; an answer of any status is `Ok`.
    pub(crate) async fn get(&self, url: &str) -> Result<Answer, CallError> {
        self.call(Method::GET, url, Bytes::new()).await
    }

    /// Sends a POST with a JSON body; an answer of any status is `Ok`.
    pub(crate) async fn post<T: Serialize>(
        &self,
        url: &str,
        message: &T,
    ) -> Result<Answer, CallError> {
        let body = serde_json::to_vec(message).expect("messages always serialize to JSON");
        self.call(Method::POST, url, Bytes::from(body)).await
    }

    async fn call(&self, method: Method, url: &str, body: Bytes) -> Result<Answer, CallError> {
        let timed_out = || CallError::NoAnswer {
            url: url.to_owned(),
            cause: format!("timed out after {} s", CALL_TIMEOUT.as_secs()),
        };
        let call = self.call_untimed(method, url, body);
        tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| Err(timed_out()))
    }

    async fn call_untimed(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::Connect {
                url: url.to_owned(),
                cause: error.to_string(),
            })?;
        let response =
            self.inner.request(request).await.map_err(|error| call_error(url, &error))?;
        let status = response.status();
        let limited = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = limited.collect().await.map_err(|error| CallError::NoAnswer {
            url: url.to_owned(),
            cause: error.to_string(),
        })?;
        Ok(Answer { url: url.to_owned(), status, body: collected.to_bytes() })
    }
}

fn call_error(url: &str, error: &legacy::Error) -> CallError {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    let (url, cause) = (url.to_owned(), cause.to_string());
    if error.is_connect() {
        CallError::Connect { url, cause }
    } else {
        CallError::NoAnswer { url, cause }
    }
}

/// Checks that `text` is an `http` URL and removes trailing slashes.
pub(crate) fn parse_base_url(text: &str) -> Result<BaseUrl, String> {
    let uri: Uri = text.parse().map_err(|error| format!("\"{text}\" is not a URL: {error}"))?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        return Err(format!("\"{text}\" must be a URL such as http://10.0.0.1:7000"));
    }
    Ok(text.trim_end_matches('/').to_owned())
}
