//! Settings given by flag or environment variable; the flag takes precedence.

use std::time::Duration;

use crate::http::{self, BaseUrl};

/// Environment variable with the platform's base URL.
const PLATFORM: &str = "RHUBARBROCK_PLATFORM";

/// Environment variable with the nodes' base URLs, separated by commas.
const NODES: &str = "RHUBARBROCK_NODES";

/// Environment variable with the author of published notes.
const AUTHOR: &str = "RHUBARBROCK_AUTHOR";

/// Environment variable with the timeout of a command, in seconds.
const TIMEOUT_S: &str = "RHUBARBROCK_TIMEOUT_S";

/// The platform's base URL, if one is given; an error if it is invalid.
pub(crate) fn optional_platform(flag: &Option<String>) -> Result<Option<BaseUrl>, String> {
    let Some(text) = flag.clone().or_else(|| variable(PLATFORM)) else { return Ok(None) };
    let base =
        http::parse_base_url(&text).map_err(|error| format!("--platform ({PLATFORM}): {error}"));
    base.map(Some)
}

/// The platform's base URL; an error if none is given or it is invalid.
pub(crate) fn platform(flag: &Option<String>) -> Result<BaseUrl, String> {
    let missing = || format!("--platform URL or {PLATFORM} is missing");
    optional_platform(flag)?.ok_or_else(missing)
}

/// The nodes' base URLs; an error if none is given or one is invalid.
pub(crate) fn nodes(flags: &[String]) -> Result<Vec<BaseUrl>, String> {
    let texts: Vec<String> = if flags.is_empty() {
        let list = variable(NODES).unwrap_or_default();
        list.split(',').map(|text| text.trim().to_owned()).filter(|text| !text.is_empty()).collect()
    } else {
        flags.to_vec()
    };
    if texts.is_empty() {
        return Err(format!("--node URL or {NODES} is missing"));
    }
    let parse = |text: &String| {
        http::parse_base_url(text).map_err(|error| format!("--node ({NODES}): {error}"))
    };
    texts.iter().map(parse).collect()
}

/// Author of published notes: the flag, `RHUBARBROCK_AUTHOR`, `USER`, or `unknown`.
pub(crate) fn author(flag: &Option<String>) -> String {
    let named = flag.clone().or_else(|| variable(AUTHOR)).or_else(|| variable("USER"));
    named.unwrap_or_else(|| "unknown".to_owned())
}

/// Timeout of the command; an error if it is not a whole number of seconds from 1.
pub(crate) fn timeout(flag: Option<u64>, default: Duration) -> Result<Duration, String> {
    let seconds = match (flag, variable(TIMEOUT_S)) {
        (Some(seconds), _) => seconds,
        (None, Some(text)) => text
            .parse()
            .map_err(|_| format!("{TIMEOUT_S}: \"{text}\" is not a number of seconds"))?,
        (None, None) => return Ok(default),
    };
    if seconds == 0 {
        return Err(format!("--timeout-s ({TIMEOUT_S}): must be at least 1"));
    }
    Ok(Duration::from_secs(seconds))
}

/// Value of an environment variable; none if it is unset or empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
