//! CPU time and memory of this process, as the kernel counts them.

use std::fs;
use std::time::Duration;

use anyhow::Context;

const PAGE_BYTES: u64 = 4_096;

/// CPU time that this thread has used.
pub(crate) fn cpu_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().context("schedstat is empty")?;
    Ok(Duration::from_nanos(nanos.parse()?))
}

/// Memory of this process that is resident, in bytes.
pub(crate) fn resident_bytes() -> anyhow::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split_whitespace().nth(1).context("statm is short")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
