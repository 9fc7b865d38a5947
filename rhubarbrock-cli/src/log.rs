//! Reads and appends to the topic "release" of the platform's log over HTTP.

use std::time::Duration;

use ::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rhubarbrock::id::Offset;
use rhubarbrock::publisher::AppendOutcome;
use rhubarbrock::release;
use serde::{Deserialize, Serialize};

use crate::http::{BaseUrl, CallError, Client};

/// Largest number of records requested in one read.
const PAGE_RECORDS: u32 = 256;

#[derive(Debug, Deserialize)]
struct Page {
    #[serde(default)]
    records: Vec<Record>,
    oldest: Offset,
    end: Offset,
}

#[derive(Debug, Deserialize)]
struct Record {
    offset: Offset,
    data: String,
}

#[derive(Debug, Serialize)]
struct AppendCall {
    records: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct AppendReply {
    first_offset: Offset,
}

/// Applies all records that the topic has now to `log`.
pub(crate) async fn read_to_end(
    client: &Client,
    platform: &BaseUrl,
    log: &mut release::ReleaseLog,
) -> Result<(), CallError> {
    loop {
        let from = log.next_offset();
        let topic = release::TOPIC;
        let url =
            format!("{platform}/log/{topic}/records?from={from}&max={PAGE_RECORDS}&wait_ms=0");
        let answer = client.get(&url).await?;
        let page: Page = match answer.status {
            StatusCode::OK | StatusCode::GONE => answer.json()?,
            _ => return Err(answer.status_error()),
        };
        log.skip_to(page.oldest);
        for record in &page.records {
            // Invalid base64 becomes an empty record, which counts as malformed.
            let data = STANDARD.decode(&record.data).unwrap_or_default();
            log.apply(record.offset, &data);
        }
        let has_advanced = log.next_offset() > from;
        if log.next_offset() >= page.end || !has_advanced {
            return Ok(());
        }
    }
}

/// Appends one record. Where the outcome is not `Appended`, the error says why.
pub(crate) async fn append(
    client: &Client,
    platform: &BaseUrl,
    record: &[u8],
) -> (AppendOutcome, Option<CallError>) {
    let url = format!("{platform}/log/{}/records", release::TOPIC);
    let call = AppendCall { records: vec![STANDARD.encode(record)] };
    let answer = match client.post(&url, &call).await {
        Ok(answer) => answer,
        Err(error @ CallError::Connect { .. }) => return (AppendOutcome::Refused, Some(error)),
        Err(error) => return (AppendOutcome::Unknown, Some(error)),
    };
    match answer.status {
        StatusCode::OK => match answer.json::<AppendReply>() {
            Ok(reply) => (AppendOutcome::Appended(reply.first_offset), None),
            Err(error) => (AppendOutcome::Unknown, Some(error)),
        },
        StatusCode::TOO_MANY_REQUESTS => (AppendOutcome::Refused, Some(answer.status_error())),
        _ => (AppendOutcome::Unknown, Some(answer.status_error())),
    }
}

/// Delay before retry number `tries` (from 1): doubles up to a limit, with jitter.
pub(crate) fn backoff_delay(tries: u32) -> Duration {
    const INITIAL_MS: u64 = 100;
    const MAX_MS: u64 = 2_000;
    let upper_ms = INITIAL_MS.saturating_mul(1 << tries.min(10)).min(MAX_MS);
    Duration::from_millis(rand::random_range(upper_ms / 2..=upper_ms))
}
