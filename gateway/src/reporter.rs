//! Sends reports to the other gateways, to each kind of recipient at its own interval.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use forwarding::dispatcher::Dispatcher;
use forwarding::report_schedule::{self, Schedule};
use prost::Message;
use rhubarbrock_schema::gossip;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::gossip as gossip_reports;

/// Number of gateways besides the lease holder that receive usage, as the next holder is one of them.
const USAGE_BACKUPS: u32 = 2;

/// Datagrams that are sent at once. More of them overflow the queue of a 10 Mbit/s link.
const BATCH_DATAGRAMS: usize = 14;

/// Pause between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Intervals of the reports of this gateway.
pub(crate) fn schedule(dispatcher: &Dispatcher) -> Schedule {
    dispatcher.peers.report_schedule(&dispatcher.settings.data_centre)
}

/// Sends the reports of this gateway.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    sequence: u64,
    /// Times of the next reports, since the instance booted.
    next: DueTimes,
    outgoing: Vec<Outgoing>,
}

/// When reports to each kind of recipient are due.
#[derive(Debug, Default)]
struct DueTimes {
    near: Duration,
    duties: Duration,
    far: Duration,
    brief: Duration,
}

/// Encoded report with the addresses that it still has to be sent to.
#[derive(Debug)]
struct Outgoing {
    datagram: Vec<u8>,
    addresses: Vec<SocketAddr>,
}

impl Reporter {
    /// Sends a batch of the reports that are due; returns the time until the next batch.
    pub(crate) async fn send_due(&mut self, context: &Context, socket: &UdpSocket) -> Duration {
        if self.outgoing.is_empty() {
            self.outgoing = self.due_reports(context, context.now());
        }
        let mut batch = BATCH_DATAGRAMS;
        while batch > 0
            && let Some(outgoing) = self.outgoing.last_mut()
        {
            let Some(address) = outgoing.addresses.pop() else {
                self.outgoing.pop();
                continue;
            };
            // An error is ignored, like the loss of a datagram.
            let _ = socket.send_to(&outgoing.datagram, address).await;
            batch -= 1;
        }
        if !self.outgoing.is_empty() {
            return BATCH_INTERVAL;
        }
        let next = &self.next;
        let next_at = next.near.min(next.duties).min(next.far).min(next.brief);
        next_at.saturating_sub(context.now()).max(BATCH_INTERVAL)
    }

    fn due_reports(&mut self, context: &Context, now: Duration) -> Vec<Outgoing> {
        self.sequence += 1;
        let full = gossip_reports::report(context, self.sequence);
        let dispatcher = context.dispatcher();
        let schedule = schedule(&dispatcher);
        let recipients = dispatcher.peers.recipients(&dispatcher.settings.data_centre);
        let rank = dispatcher.peers.name_rank(now, &dispatcher.settings.name);
        let sends_brief =
            report_schedule::sends_brief_reports(full.reads_entries, full.holds_lease, rank);
        let stated = |interval: Duration| {
            let interval = if sends_brief { interval.min(schedule.brief) } else { interval };
            interval.as_millis() as u32
        };
        let mut outgoing = Vec::new();
        let mut served = BTreeSet::new();
        if is_due(&mut self.next.duties, now, schedule.duties) {
            let addresses = dispatcher.peers.duty_addresses(now, USAGE_BACKUPS);
            let with_usage = gossip::Report {
                usage: gossip_reports::usage(&dispatcher, now),
                interval_ms: stated(schedule.duties),
                ..full.clone()
            };
            outgoing.push(Outgoing::new(&with_usage, addresses.iter().copied().collect()));
            served = addresses;
        }
        let audiences = [
            (&mut self.next.near, schedule.near, recipients.near),
            (&mut self.next.far, schedule.far, recipients.far),
        ];
        for (next, interval, addresses) in audiences {
            if is_due(next, now, interval) {
                let addresses = addresses.into_iter().filter(|address| !served.contains(address));
                let report = gossip::Report { interval_ms: stated(interval), ..full.clone() };
                let addresses: Vec<SocketAddr> = addresses.collect();
                served.extend(addresses.iter().copied());
                outgoing.push(Outgoing::new(&report, addresses));
            }
        }
        let brief_interval = if sends_brief { schedule.brief } else { schedule.far };
        if is_due(&mut self.next.brief, now, brief_interval) && sends_brief {
            let all = dispatcher.peers.recipients("");
            let addresses = all.near.into_iter().chain(all.far);
            let brief = gossip::Report {
                loads: Vec::new(),
                demands: Vec::new(),
                arrivals: Vec::new(),
                suspects: Vec::new(),
                prompt_suspects: Vec::new(),
                held_parts: Vec::new(),
                standings: Vec::new(),
                is_brief: true,
                interval_ms: stated(schedule.brief),
                ..full
            };
            let addresses = addresses.filter(|address| !served.contains(address)).collect();
            outgoing.push(Outgoing::new(&brief, addresses));
        }
        outgoing
    }
}

impl Outgoing {
    fn new(report: &gossip::Report, addresses: Vec<SocketAddr>) -> Outgoing {
        Outgoing { datagram: report.encode_to_vec(), addresses }
    }
}

/// Whether a report is due; if so, sets the time of the next one.
fn is_due(next: &mut Duration, now: Duration, interval: Duration) -> bool {
    let is_due = now >= *next;
    if is_due {
        *next = now + interval;
    }
    is_due
}
