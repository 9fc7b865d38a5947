//! Settings of the failure detector.

use std::time::Duration;

/// Settings of the failure detector.
#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) probe_interval: Duration,
    pub(crate) probe_timeout: Duration,
    pub(crate) indirect_probes: usize,
    pub(crate) suspicion_unit: Duration,
    pub(crate) pause_threshold: Duration,
    pub(crate) max_datagram_age: Duration,
    pub(crate) dead_retention: Duration,
    pub(crate) max_datagram_bytes: usize,
    pub(crate) target_datagram_bytes: usize,
    pub(crate) sampled_members: usize,
    pub(crate) max_members: usize,
    pub(crate) max_digest_items: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_unit: Duration::from_millis(600),
            pause_threshold: Duration::from_millis(1_500),
            max_datagram_age: Duration::from_secs(30),
            dead_retention: Duration::from_secs(1_800),
            max_datagram_bytes: 1_100,
            target_datagram_bytes: 480,
            sampled_members: 1,
            max_members: 4_096,
            max_digest_items: 16_384,
        }
    }
}

impl Config {
    /// Interval between probes, at least 10 ms. Also sets the timeout of a direct probe to 2/5 of it,
    /// the suspicion unit to 3/5 and the pause threshold to 3/2.
    pub fn probe_interval(mut self, interval: Duration) -> Config {
        assert!(interval >= Duration::from_millis(10), "the probe interval must be at least 10 ms");
        self.probe_interval = interval;
        self.probe_timeout = interval * 2 / 5;
        self.suspicion_unit = interval * 3 / 5;
        self.pause_threshold = interval * 3 / 2;
        self
    }

    /// Number of nodes that are asked to probe a node that did not answer a direct probe.
    pub fn indirect_probes(mut self, count: usize) -> Config {
        self.indirect_probes = count;
        self
    }

    /// Minimum time to refute a suspicion, per doubling of the number of nodes.
    pub fn suspicion_unit(mut self, unit: Duration) -> Config {
        self.suspicion_unit = unit;
        self
    }

    /// Age above which a datagram is dropped, measured by the wall clocks of sender and receiver.
    pub fn max_datagram_age(mut self, bound: Duration) -> Config {
        self.max_datagram_age = bound;
        self
    }

    /// Time after which a dead node is forgotten.
    pub fn dead_retention(mut self, retention: Duration) -> Config {
        self.dead_retention = retention;
        self
    }

    /// Maximum size of a datagram without its HMAC, in bytes, at least 512. Membership updates may
    /// fill it.
    pub fn max_datagram_bytes(mut self, bytes: usize) -> Config {
        assert!(bytes >= 512, "a datagram must have room for one node record: at least 512 bytes");
        self.max_datagram_bytes = bytes;
        self
    }

    /// Size of a datagram, in bytes, up to which digest items are added.
    pub fn target_datagram_bytes(mut self, bytes: usize) -> Config {
        self.target_datagram_bytes = bytes;
        self
    }

    /// Number of nodes without changes whose record is added to each datagram, in turn.
    pub fn sampled_members(mut self, count: usize) -> Config {
        self.sampled_members = count;
        self
    }
}
