//! Logging to standard error, as text or JSON.

use slog::{Drain, Logger, o};

use crate::settings;

/// Maximum number of lines waiting to be written; further lines are dropped and counted.
const CHANNEL_CAPACITY: usize = 1_024;

/// Creates the logger of a node; each line has the node's name.
pub fn new(settings: settings::LogSettings, node: &str) -> Logger {
    let drain = if settings.json {
        let json = slog_json::Json::default(std::io::stderr()).fuse();
        slog_async::Async::new(json).chan_size(CHANNEL_CAPACITY).build()
    } else {
        let decorator = slog_term::PlainDecorator::new(std::io::stderr());
        let text = slog_term::FullFormat::new(decorator).build().fuse();
        slog_async::Async::new(text).chan_size(CHANNEL_CAPACITY).build()
    };
    let filtered = drain.filter_level(settings.level).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}
