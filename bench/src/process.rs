//! CPU time of this thread and memory of this process, from `/proc`.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const PAGE_BYTES: u64 = 4_096;

/// CPU time of the calling thread.
pub(crate) fn cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text
        .split_whitespace()
        .next()
        .context("/proc/thread-self/schedstat: expected a CPU time, got no fields")?;
    Ok(Duration::from_nanos(nanos.parse()?))
}

/// Resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> anyhow::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .context("/proc/self/statm: expected at least 2 fields")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}
