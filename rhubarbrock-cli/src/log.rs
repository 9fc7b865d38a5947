//! Topic "release" of the platform's log, read and appended to over HTTP.

use std::time::Duration;

use ::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rhubarbrock::id::Offset;
use rhubarbrock::publisher::AppendOutcome;
use rhubarbrock::release;
use serde::{Deserialize, Serialize};

use crate::http::{Base, CallError, Client};

/// Records asked for at once.
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

/// Reads all records that the log has now into `log`.
pub(crate) async fn read_to_end(
    client: &Client,
    platform: &Base,
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
            _ => return Err(answer.refusal()),
        };
        log.skip_to(page.oldest);
        for record in &page.records {
            // What is no base64 is a record that no reader understands.
            let data = STANDARD.decode(&record.data).unwrap_or_default();
            log.apply(record.offset, &data);
        }
        let has_moved = log.next_offset() > from;
        if log.next_offset() >= page.end || !has_moved {
            return Ok(());
        }
    }
}

/// Appends one record; the error, if any, is for the operator to see.
pub(crate) async fn append(
    client: &Client,
    platform: &Base,
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
        StatusCode::TOO_MANY_REQUESTS => (AppendOutcome::Refused, Some(answer.refusal())),
        _ => (AppendOutcome::Unknown, Some(answer.refusal())),
    }
}

/// Time before try number `tries` of a call, from 1: doubles up to a limit, with jitter.
pub(crate) fn back_off(tries: u32) -> Duration {
    const FIRST_MS: u64 = 100;
    const LIMIT_MS: u64 = 2_000;
    let longest = FIRST_MS.saturating_mul(1 << tries.min(10)).min(LIMIT_MS);
    Duration::from_millis(rand::random_range(longest / 2..=longest))
}
