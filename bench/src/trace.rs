//! Traces of requests with their arrival times, stored as JSON lines.

use std::fs;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;

use anyhow::Context;
use argh::FromArgs;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::workload;

/// Tokens of a cache block.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// A segment of a prompt. Prompts that start with the same segments share cached blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Segment {
    /// Identifier of the text.
    pub(crate) text: u64,
    /// Number of blocks of the text, from its start, that the prompt contains.
    pub(crate) blocks: u32,
}

/// Purpose of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A turn of a dialogue about a guide.
    Guide,
    /// Live commentary.
    Commentary,
    /// A judge's summary at the end of a heat.
    Summary,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Request {
    /// Arrival time, in microseconds from the start of the trace.
    pub(crate) at_us: u64,
    /// Index of the organisation.
    pub(crate) organisation: usize,
    /// Purpose.
    pub(crate) kind: Kind,
    /// Identifier of the dialogue that the request belongs to.
    pub(crate) dialogue: u64,
    /// Segments of the prompt, in order.
    pub(crate) segments: Vec<Segment>,
    /// Size of the prompt of the dialogue's previous turn; 0 for the first turn.
    pub(crate) settled_tokens: u32,
    /// Size of the answer.
    pub(crate) answer_tokens: u32,
    /// Deadline from arrival to first token, in milliseconds.
    pub(crate) deadline_ms: Option<u32>,
    /// Random number that selects the node, as a load balancer would.
    pub(crate) balancer: u32,
}

impl Request {
    /// Size of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.blocks).sum::<u32>() * BLOCK_TOKENS
    }

    /// Hashes of the prompt's blocks; each hash covers all blocks before it.
    pub(crate) fn blocks(&self) -> Vec<u64> {
        let mut previous = 0;
        let mut blocks = Vec::new();
        for segment in &self.segments {
            for index in 0..segment.blocks {
                let mut bytes = [0; 20];
                bytes[..8].copy_from_slice(&u64::to_le_bytes(previous));
                bytes[8..16].copy_from_slice(&segment.text.to_le_bytes());
                bytes[16..].copy_from_slice(&index.to_le_bytes());
                previous = xxh3::xxh3_64(&bytes);
                blocks.push(previous);
            }
        }
        blocks
    }
}

/// Reads a trace; fails at the first line that is not a request.
pub(crate) fn read(path: &Path) -> anyhow::Result<Vec<Request>> {
    let file = fs::File::open(path).with_context(|| format!("open {}", path.display()))?;
    let mut requests = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let request = serde_json::from_str(&line?);
        requests.push(request.with_context(|| format!("{}:{}", path.display(), index + 1))?);
    }
    Ok(requests)
}

/// Writes a trace; replaces an existing file.
pub(crate) fn write(path: &Path, requests: &[Request]) -> anyhow::Result<()> {
    let file = fs::File::create(path).with_context(|| format!("create {}", path.display()))?;
    let mut file = BufWriter::new(file);
    for request in requests {
        serde_json::to_writer(&mut file, request)?;
        file.write_all(b"\n")?;
    }
    file.flush()?;
    Ok(())
}

/// Write the trace of a deployment as JSON lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Generate {
    /// deployment: gourd or shucking
    #[argh(positional)]
    deployment: workload::Deployment,
    /// file to write
    #[argh(positional)]
    file: std::path::PathBuf,
    /// seed of the generator
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the trace, in seconds
    #[argh(option, default = "240")]
    seconds: u64,
    /// offered load, as a multiple of the ordinary load
    #[argh(option, default = "1.0")]
    load: f64,
}

impl Generate {
    pub(crate) fn run(self) -> anyhow::Result<()> {
        let plan = workload::TraceConfig::new(self.deployment, self.seconds).load(self.load);
        write(&self.file, &plan.generate(self.seed))
    }
}
