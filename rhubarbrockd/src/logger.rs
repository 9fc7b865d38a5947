//! Log lines on standard error, as text or JSON.

use slog::{Drain, Logger, o};

use crate::settings;

/// Lines that wait to be written before further ones are counted as dropped.
const CHANNEL_CAPACITY: usize = 1_024;

/// The logger of a node called `node`.
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
