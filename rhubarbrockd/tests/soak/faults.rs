//! Faults drawn from a seed, and what they do.

use std::sync::Arc;
use std::time::Duration;

use platform_standins::replica::Mode;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time;

use crate::proxy::Link;
use crate::world::{GATEWAYS, GRACE, Place, REPLICAS, World};

/// Time over which faults begin.
pub(crate) const FAULTY: Duration = Duration::from_millis(9_000);

/// Few faults leave gateways in touch, for which the bounds hold; many overlap.
const FAULTS: std::ops::RangeInclusive<u32> = 3..=14;
const LONGEST_MS: u64 = 3_500;

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
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Planned {
    at: Duration,
    lasts: Duration,
    fault: Fault,
}

fn link(random: &mut ChaCha8Rng) -> Link {
    match random.random_range(0..4) {
        0 => Link::Delayed(Duration::from_millis(random.random_range(20..300))),
        1 => Link::Silent,
        2 => Link::OneWay,
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

/// Faults at random times; some last beyond the others' beginning, and some come in series.
pub(crate) fn plan(random: &mut ChaCha8Rng) -> Vec<Planned> {
    let draw = |random: &mut ChaCha8Rng| {
        let gateway = random.random_range(0..GATEWAYS);
        let replica = random.random_range(0..REPLICAS);
        let fault = match random.random_range(0..12) {
            0 => Fault::Kill(gateway),
            1 | 2 => Fault::Terminate(gateway),
            3 => Fault::TerminateAll,
            4 => Fault::Pause(gateway),
            5 | 6 => Fault::StoreLink(gateway, link(random)),
            7 => Fault::StoreDown,
            8 => Fault::ReplicaLink(replica, link(random)),
            9 => Fault::ReplicaMode(replica, mode(random)),
            10 => Fault::Drain(replica),
            _ => Fault::ChangeKeys,
        };
        let at = Duration::from_millis(random.random_range(0..FAULTY.as_millis() as u64));
        let lasts = Duration::from_millis(random.random_range(200..LONGEST_MS));
        Planned { at, lasts, fault }
    };
    let count = random.random_range(FAULTS);
    (0..count).map(|_| draw(random)).collect()
}

/// Lets a fault begin and end.
pub(crate) async fn play(world: Arc<World>, planned: Planned) {
    time::sleep(planned.at).await;
    world.tell(&format!("{:?} for {} ms", planned.fault, planned.lasts.as_millis()));
    match planned.fault {
        Fault::Kill(gateway) => kill(&world, gateway, planned.lasts).await,
        Fault::Terminate(gateway) => terminate(&world, gateway).await,
        Fault::TerminateAll => {
            for gateway in 0..GATEWAYS {
                terminate(&world, gateway).await;
            }
        }
        Fault::Pause(gateway) => pause(&world, gateway, planned.lasts).await,
        Fault::StoreLink(gateway, link) => {
            let disturbance = world.disturb(Place::Gateway(gateway));
            world.store_links[gateway].set(link);
            time::sleep(planned.lasts).await;
            world.store_links[gateway].set(Link::Sound);
            world.end(disturbance);
        }
        Fault::StoreDown => {
            let disturbance = world.disturb(Place::Store);
            world.store.set_down(true);
            time::sleep(planned.lasts).await;
            world.store.set_down(false);
            world.end(disturbance);
        }
        Fault::ReplicaLink(replica, link) => {
            let disturbance = world.disturb(Place::Replica(replica));
            world.replicas[replica].link.set(link);
            time::sleep(planned.lasts).await;
            world.replicas[replica].link.set(Link::Sound);
            world.end(disturbance);
        }
        Fault::ReplicaMode(replica, mode) => {
            let disturbance = world.disturb(Place::Replica(replica));
            world.replicas[replica].replica.set_mode(mode);
            time::sleep(planned.lasts).await;
            world.replicas[replica].replica.set_mode(Mode::Healthy);
            world.end(disturbance);
        }
        Fault::Drain(replica) => world.drain(replica, planned.lasts).await,
        Fault::ChangeKeys => world.change_keys(),
    }
}

async fn kill(world: &World, gateway: usize, lasts: Duration) {
    let mut process = world.gateways[gateway].lock().await;
    let disturbance = world.disturb(Place::Gateway(gateway));
    process.child.kill();
    time::sleep(lasts).await;
    process.restart();
    world.end(disturbance);
}

async fn terminate(world: &World, gateway: usize) {
    let mut process = world.gateways[gateway].lock().await;
    let leaving = world.disturb(Place::Leaving(gateway));
    process.child.signal("TERM");
    if process.child.wait_for_exit(GRACE).await.is_none() {
        world.broken(format!("gateway {gateway} outlives its grace time"));
        process.child.kill();
    }
    process.restart();
    world.end(leaving);
}

async fn pause(world: &World, gateway: usize, lasts: Duration) {
    let process = world.gateways[gateway].lock().await;
    let disturbance = world.disturb(Place::Gateway(gateway));
    process.child.signal("STOP");
    time::sleep(lasts).await;
    process.child.signal("CONT");
    world.end(disturbance);
}
