//! Settings of a node, from flags and environment variables.
//!
//! Each field of [`rhubarbrock_schema::settings::Settings`] has a flag
//! (`--peer-key`) and a variable (`RHUBARBROCK_PEER_KEY`); the flag takes
//! precedence. All invalid settings are reported together.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use rhubarbrock::id;
use rhubarbrock_schema::settings;

/// Prefix of the environment variables.
pub const VARIABLE_PREFIX: &str = "RHUBARBROCK_";

/// Variables with the prefix that only the command-line tool reads.
const CLI_VARIABLES: [&str; 3] =
    ["RHUBARBROCK_PLATFORM", "RHUBARBROCK_NODES", "RHUBARBROCK_AUTHOR"];

/// The flag that may be repeated; its variable has a comma-separated list.
const REPEATED_FLAG: &str = "--seed";

/// Minimum length of the key shared by the nodes, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;

/// Shared key if none is set and the peer address is a loopback address.
const LOOPBACK_PEER_KEY: &str = "loopback-only-peer-key";

/// Action that the command line requests.
#[derive(Debug)]
pub enum Request {
    /// Run a node with these settings.
    Run(Box<Settings>),
    /// Print this text and exit successfully.
    Print(String),
}

/// Errors in the settings, one line each.
#[derive(Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<String>);

/// Validated settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the node in logs, status and timeline.
    pub name: String,
    /// Data centre that the node runs in.
    pub data_centre: String,
    /// Region of the data centre; empty if not set.
    pub region: String,
    /// Platform's id of the instance that the node runs on; 0 if not set.
    pub instance: id::InstanceId,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes connect and send datagrams to.
    pub peer_address: SocketAddr,
    /// Base URL of the platform, without a trailing slash.
    pub platform_url: String,
    /// Peer addresses of nodes through which to join the others.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by all nodes.
    pub peer_key: String,
    /// TLS files for the caller address; `None` for plain HTTP.
    pub tls: Option<TlsFiles>,
    /// Format and level of the log.
    pub log: LogSettings,
    /// Limits on callers' connections and requests.
    pub limits: Limits,
    /// Time between membership probes.
    pub probe_interval: Duration,
    /// Maximum duration of a drain; `None` for the default of [`rhubarbrock::drain::Config`].
    pub drain_limit: Option<Duration>,
}

/// Paths of the PEM files for TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// Settings of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Whether lines are JSON instead of text.
    pub json: bool,
    /// Least severe level that is written.
    pub level: slog::Level,
}

/// Limits on callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u32,
    /// Time limit for receiving the headers and, separately, the body of a request.
    pub read_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Maximum number of concurrent streams on one HTTP/2 connection.
    pub max_streams: u32,
    /// Number of threads that serve callers.
    pub caller_threads: u32,
}

const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 4 * 1024 * 1024,
    read_timeout: Duration::from_secs(10),
    max_connections: 4_096,
    max_streams: 128,
    caller_threads: 1,
};

/// Reads the settings from command-line arguments and environment variables.
///
/// Fails with all errors if an argument is unknown or a setting is missing or invalid.
pub fn load(
    arguments: &[String],
    variables: impl Iterator<Item = (String, String)>,
) -> Result<Request, Faults> {
    if arguments.iter().any(|argument| argument == "--version") {
        return Ok(Request::Print(concat!("rhubarbrockd ", env!("CARGO_PKG_VERSION")).to_owned()));
    }
    let merged = merge_variables(arguments, variables);
    let merged_strs: Vec<&str> = merged.iter().map(String::as_str).collect();
    match settings::Settings::from_args(&["rhubarbrockd"], &merged_strs) {
        Ok(raw) => check(raw).map(|settings| Request::Run(Box::new(settings))),
        Err(exit) if exit.status.is_ok() => Ok(Request::Print(exit.output)),
        Err(exit) => Err(Faults(
            exit.output
                .lines()
                .map(str::trim)
                .filter(|l| !l.is_empty())
                .map(str::to_owned)
                .collect(),
        )),
    }
}

/// Adds a flag before the arguments for each variable whose flag is absent.
fn merge_variables(
    arguments: &[String],
    variables: impl Iterator<Item = (String, String)>,
) -> Vec<String> {
    let mut own_variables: Vec<(String, String)> = variables
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX))
        .filter(|(name, _)| !CLI_VARIABLES.contains(&name.as_str()))
        .collect();
    own_variables.sort();
    let mut merged = Vec::new();
    for (name, value) in own_variables {
        let flag = flag_name(&name);
        if arguments.contains(&flag) {
            continue;
        }
        if flag == REPEATED_FLAG {
            for item in value.split(',').filter(|item| !item.is_empty()) {
                merged.push(flag.clone());
                merged.push(item.trim().to_owned());
            }
        } else {
            merged.push(flag);
            merged.push(value);
        }
    }
    merged.extend_from_slice(arguments);
    merged
}

fn flag_name(variable: &str) -> String {
    let rest = &variable[VARIABLE_PREFIX.len()..];
    format!("--{}", rest.to_ascii_lowercase().replace('_', "-"))
}

/// Collects errors so that all of them are reported.
#[derive(Default)]
struct Checker {
    faults: Vec<String>,
}

impl Checker {
    fn add_fault(&mut self, flag: &str, message: impl std::fmt::Display) {
        self.faults.push(format!("--{flag}: {message}"));
    }

    fn address(&mut self, flag: &str, text: &str) -> SocketAddr {
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                self.add_fault(flag, format!("expected IP:port, got \"{text}\""));
                SocketAddr::from(([0, 0, 0, 0], 0))
            }
        }
    }

    fn at_least(&mut self, flag: &str, value: Option<u32>, default: u32, min: u32) -> u32 {
        let value = value.unwrap_or(default);
        if value < min {
            self.add_fault(flag, format!("expected at least {min}, got {value}"));
        }
        value
    }

    fn check_name(&mut self, flag: &str, text: &str) {
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        if text.is_empty() || !text.chars().all(is_name_char) {
            self.add_fault(flag, format!("expected letters, digits, '-', '_' or '.': \"{text}\""));
        }
    }
}

fn check(raw: settings::Settings) -> Result<Settings, Faults> {
    let mut checker = Checker::default();
    checker.check_name("name", &raw.name);
    checker.check_name("data-centre", &raw.data_centre);
    let caller_address = checker.address("caller-address", &raw.caller_address);
    let peer_address = checker.address("peer-address", &raw.peer_address);
    if caller_address == peer_address {
        checker.add_fault("peer-address", "must differ from --caller-address");
    }
    let seeds = raw.seed.iter().map(|seed| checker.address("seed", seed)).collect();
    let platform_url = check_platform_url(&mut checker, &raw.platform_url);
    let peer_key = check_peer_key(&mut checker, raw.peer_key, peer_address);
    let tls = check_tls(&mut checker, raw.tls_certificate, raw.tls_key);
    let log = check_log(&mut checker, raw.log_format, raw.log_level);
    let limits = Limits {
        max_header_bytes: checker.at_least(
            "max-header-bytes",
            raw.max_header_bytes,
            DEFAULT_LIMITS.max_header_bytes,
            8_192,
        ),
        max_body_bytes: checker.at_least(
            "max-body-bytes",
            raw.max_body_bytes,
            DEFAULT_LIMITS.max_body_bytes,
            1,
        ),
        read_timeout: Duration::from_millis(u64::from(checker.at_least(
            "read-timeout-ms",
            raw.read_timeout_ms,
            DEFAULT_LIMITS.read_timeout.as_millis() as u32,
            1,
        ))),
        max_connections: checker.at_least(
            "max-connections",
            raw.max_connections,
            DEFAULT_LIMITS.max_connections,
            1,
        ),
        max_streams: checker.at_least(
            "max-streams",
            raw.max_streams,
            DEFAULT_LIMITS.max_streams,
            1,
        ),
        caller_threads: checker.at_least(
            "caller-threads",
            raw.caller_threads,
            DEFAULT_LIMITS.caller_threads,
            1,
        ),
    };
    let probe_interval_ms = checker.at_least("probe-interval-ms", raw.probe_interval_ms, 1_000, 10);
    if !checker.faults.is_empty() {
        return Err(Faults(checker.faults));
    }
    Ok(Settings {
        name: raw.name,
        data_centre: raw.data_centre,
        region: raw.region.unwrap_or_default(),
        instance: raw.instance.unwrap_or(0),
        caller_address,
        peer_address,
        platform_url,
        seeds,
        peer_key,
        tls,
        log,
        limits,
        probe_interval: Duration::from_millis(u64::from(probe_interval_ms)),
        drain_limit: raw
            .drain_limit_ms
            .filter(|limit_ms| *limit_ms > 0)
            .map(|limit_ms| Duration::from_millis(u64::from(limit_ms))),
    })
}

fn check_platform_url(checker: &mut Checker, text: &str) -> String {
    let trimmed = text.trim_end_matches('/');
    let authority = trimmed.strip_prefix("http://").unwrap_or("");
    if authority.is_empty() || authority.contains('/') {
        checker.add_fault("platform-url", format!("expected http://IP:port, got \"{text}\""));
    } else if trimmed.parse::<http::Uri>().is_err() {
        checker.add_fault("platform-url", format!("expected a URL, got \"{text}\""));
    }
    trimmed.to_owned()
}

fn check_peer_key(checker: &mut Checker, key: Option<String>, peer_address: SocketAddr) -> String {
    match key {
        Some(key) if key.len() < MIN_PEER_KEY_BYTES => {
            checker.add_fault("peer-key", format!("expected at least {MIN_PEER_KEY_BYTES} bytes"));
            key
        }
        Some(key) => key,
        None if peer_address.ip().is_loopback() => LOOPBACK_PEER_KEY.to_owned(),
        None => {
            checker.add_fault("peer-key", "is required unless --peer-address is on loopback");
            String::new()
        }
    }
}

fn check_tls(
    checker: &mut Checker,
    certificate: Option<String>,
    key: Option<String>,
) -> Option<TlsFiles> {
    match (certificate, key) {
        (Some(certificate), Some(key)) => {
            Some(TlsFiles { certificate: PathBuf::from(certificate), key: PathBuf::from(key) })
        }
        (None, None) => None,
        (Some(_), None) => {
            checker.add_fault("tls-key", "is required with --tls-certificate");
            None
        }
        (None, Some(_)) => {
            checker.add_fault("tls-certificate", "is required with --tls-key");
            None
        }
    }
}

fn check_log(checker: &mut Checker, format: Option<String>, level: Option<String>) -> LogSettings {
    let json = match format.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => {
            checker.add_fault("log-format", format!("expected text or json, got \"{other}\""));
            false
        }
    };
    let level = match level.as_deref() {
        None | Some("info") => slog::Level::Info,
        Some("debug") => slog::Level::Debug,
        Some("warning") => slog::Level::Warning,
        Some("error") => slog::Level::Error,
        Some(other) => {
            checker.add_fault(
                "log-level",
                format!("expected debug, info, warning or error, got \"{other}\""),
            );
            slog::Level::Info
        }
    };
    LogSettings { json, level }
}
