//! Plans random faults from a seed and injects them.

use std::sync::Arc;
use std::time::Duration;

use platform_standins::replica::Mode;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::proxy::Link;
use crate::testbed::{EXIT_TIMEOUT, GATEWAYS, REPLICAS, Target, Testbed};

/// Period within which all faults begin.
pub(crate) const FAULT_PERIOD: Duration = Duration::from_millis(9_000);

/// Number of faults in a run. With few, some gateways keep contact with the store, so that the time
/// bounds apply to them; with many, faults overlap.
const FAULT_COUNT: std::ops::RangeInclusive<u32> = 3..=14;

/// Time for which a sound replica may be silent.
const MAX_SILENCE: Duration = Duration::from_millis(1_300);

/// Time for which the store is away before it comes back from a copy.
const STORE_OUTAGE: Duration = Duration::from_millis(500);

/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 3_500;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(usize),
    Terminate(usize),
    TerminateAll,
    Pause(usize),
    StoreLink(usize, Link),
    StoreDown,
    ReplicaLink(usize, Link),
    ReplicaMode(usize, Mode),
    Drain(usize),
    ChangeKeys,
    /// A replica is silent for a time in its answers, which is no disturbance.
    Silence(usize, Mode),
    /// The store comes back from a copy that is as old as the fault lasts.
    RestoreStore,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedFault {
    delay: Duration,
    duration: Duration,
    fault: Fault,
}

fn link(random: &mut ChaCha8Rng) -> Link {
    match random.random_range(0..4) {
        0 => Link::Delayed(Duration::from_millis(random.random_range(20..300))),
        1 => Link::Stalled,
        2 => Link::RepliesStalled,
        _ => Link::Reset,
    }
}

fn mode(random: &mut ChaCha8Rng) -> Mode {
    match random.random_range(0..6) {
        0 => Mode::Full,
        1 => Mode::Break,
        2 => Mode::BreakStreamAfter(random.random_range(0..10)),
        3 => Mode::Hang,
        4 => Mode::WrongAttemptId,
        _ => Mode::ServerError,
    }
}

fn silence(random: &mut ChaCha8Rng) -> Mode {
    Mode::SilentAfter(random.random_range(0..10), MAX_SILENCE)
}

/// Draws faults with random start times and durations; some overlap, and some follow one another.
pub(crate) fn plan(random: &mut ChaCha8Rng) -> Vec<PlannedFault> {
    let draw = |random: &mut ChaCha8Rng| {
        let gateway = random.random_range(0..GATEWAYS);
        let replica = random.random_range(0..REPLICAS);
        let fault = match random.random_range(0..15) {
            0 => Fault::Kill(gateway),
            1 | 2 => Fault::Terminate(gateway),
            3 => Fault::TerminateAll,
            4 => Fault::Pause(gateway),
            5 | 6 => Fault::StoreLink(gateway, link(random)),
            7 => Fault::StoreDown,
            8 => Fault::ReplicaLink(replica, link(random)),
            9 => Fault::ReplicaMode(replica, mode(random)),
            10 => Fault::Drain(replica),
            11 => Fault::ChangeKeys,
            12 => Fault::Silence(replica, silence(random)),
            _ => Fault::RestoreStore,
        };
        let delay = Duration::from_millis(random.random_range(0..FAULT_PERIOD.as_millis() as u64));
        let duration = Duration::from_millis(random.random_range(200..MAX_FAULT_MS));
        PlannedFault { delay, duration, fault }
    };
    let count = random.random_range(FAULT_COUNT);
    (0..count).map(|_| draw(random)).collect()
}

/// Waits for the fault's start, injects it and removes it after its duration.
pub(crate) async fn inject(testbed: Arc<Testbed>, planned: PlannedFault) {
    time::sleep(planned.delay).await;
    testbed.log_fault(&format!("{:?} for {} ms", planned.fault, planned.duration.as_millis()));
    match planned.fault {
        Fault::Kill(gateway) => kill(&testbed, gateway, planned.duration).await,
        Fault::Terminate(gateway) => terminate(&testbed, gateway).await,
        Fault::TerminateAll => {
            for gateway in 0..GATEWAYS {
                terminate(&testbed, gateway).await;
            }
        }
        Fault::Pause(gateway) => pause(&testbed, gateway, planned.duration).await,
        Fault::StoreLink(gateway, link) => {
            let disturbance = testbed.begin_disturbance(Target::Gateway(gateway));
            testbed.store_links[gateway].set(link);
            time::sleep(planned.duration).await;
            testbed.store_links[gateway].set(Link::Healthy);
            testbed.end_disturbance(disturbance);
        }
        Fault::StoreDown => {
            let disturbance = testbed.begin_disturbance(Target::Store);
            testbed.store.set_down(true);
            time::sleep(planned.duration).await;
            testbed.store.set_down(false);
            testbed.end_disturbance(disturbance);
        }
        Fault::ReplicaLink(replica, link) => {
            let disturbance = testbed.begin_disturbance(Target::Replica(replica));
            testbed.replicas[replica].link.set(link);
            time::sleep(planned.duration).await;
            testbed.replicas[replica].link.set(Link::Healthy);
            testbed.end_disturbance(disturbance);
        }
        Fault::ReplicaMode(replica, mode) => {
            let disturbance = testbed.begin_disturbance(Target::Replica(replica));
            testbed.replicas[replica].replica.set_mode(mode);
            time::sleep(planned.duration).await;
            testbed.replicas[replica].replica.set_mode(Mode::Healthy);
            testbed.end_disturbance(disturbance);
        }
        Fault::Drain(replica) => testbed.drain(replica, planned.duration).await,
        Fault::ChangeKeys => testbed.change_keys(),
        Fault::Silence(replica, mode) => {
            testbed.replicas[replica].replica.set_mode(mode);
            time::sleep(planned.duration).await;
            testbed.replicas[replica].replica.set_mode(Mode::Healthy);
        }
        Fault::RestoreStore => restore(&testbed, planned.duration).await,
    }
}

async fn kill(testbed: &Testbed, gateway: usize, duration: Duration) {
    let mut process = testbed.gateways[gateway].lock().await;
    let disturbance = testbed.begin_disturbance(Target::Gateway(gateway));
    process.child.kill();
    time::sleep(duration).await;
    process.restart();
    testbed.end_disturbance(disturbance);
}

async fn terminate(testbed: &Testbed, gateway: usize) {
    let mut process = testbed.gateways[gateway].lock().await;
    let leaving = testbed.begin_disturbance(Target::Leaving(gateway));
    process.child.signal("TERM");
    if process.child.wait_for_exit(EXIT_TIMEOUT).await.is_none() {
        testbed.record_violation(format!("gateway {gateway} did not exit within its grace time"));
        process.child.kill();
    }
    process.restart();
    testbed.end_disturbance(leaving);
}

async fn pause(testbed: &Testbed, gateway: usize, duration: Duration) {
    let process = testbed.gateways[gateway].lock().await;
    let disturbance = testbed.begin_disturbance(Target::Gateway(gateway));
    process.child.signal("STOP");
    time::sleep(duration).await;
    process.child.signal("CONT");
    testbed.end_disturbance(disturbance);
}

/// Takes a copy of the store, and restores it after `duration` and a short outage. What the operator
/// and the replicas have written since is written again, in another order.
async fn restore(testbed: &Testbed, duration: Duration) {
    testbed.store.take_copy();
    time::sleep(duration).await;
    let disturbance = testbed.begin_disturbance(Target::Store);
    testbed.store.set_down(true);
    time::sleep(STORE_OUTAGE).await;
    testbed.store.restore();
    testbed.store.write_lost_again();
    testbed.store.set_down(false);
    testbed.end_disturbance(disturbance);
}
