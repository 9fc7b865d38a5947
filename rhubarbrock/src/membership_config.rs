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
    /// Time between probes; the time-out for a direct answer is two fifths of it.
    pub fn probe_interval(mut self, interval: Duration) -> Config {
        assert!(interval >= Duration::from_millis(10), "probes need time for an answer");
        self.probe_interval = interval;
        self.probe_timeout = interval * 2 / 5;
        self.suspicion_unit = interval * 3 / 5;
        self.pause_threshold = interval * 3 / 2;
        self
    }

    /// How many others are asked to probe a node that gave no direct answer.
    pub fn indirect_probes(mut self, count: usize) -> Config {
        self.indirect_probes = count;
        self
    }

    /// Time to refute a suspicion, per doubling of the number of nodes.
    pub fn suspicion_unit(mut self, unit: Duration) -> Config {
        self.suspicion_unit = unit;
        self
    }

    /// Age at which a datagram is dropped, by the wall clocks of sender and receiver.
    pub fn max_datagram_age(mut self, bound: Duration) -> Config {
        self.max_datagram_age = bound;
        self
    }

    /// How long a dead node is remembered.
    pub fn dead_retention(mut self, life: Duration) -> Config {
        self.dead_retention = life;
        self
    }

    /// Largest datagram before its HMAC, in bytes; membership news may fill it.
    pub fn max_datagram_bytes(mut self, bytes: usize) -> Config {
        assert!(bytes >= 512, "a datagram holds at least one record of a node");
        self.max_datagram_bytes = bytes;
        self
    }

    /// Size of a datagram up to which other news is added, in bytes.
    pub fn target_datagram_bytes(mut self, bytes: usize) -> Config {
        self.target_datagram_bytes = bytes;
        self
    }

    /// Known nodes told of in each datagram besides those with changes.
    pub fn sampled_members(mut self, count: usize) -> Config {
        self.sampled_members = count;
        self
    }
}
