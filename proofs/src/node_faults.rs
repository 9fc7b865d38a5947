//! Faults of a world of whole nodes.

use std::time::Duration;

use rand::Rng;
use rhubarbrock::event;

use crate::Violation;
use crate::node_simulation::{ScheduledEvent, Simulation};

/// Data centres.
pub(crate) const DATA_CENTRES: usize = 3;

/// Time between two losses that nobody announced. Two copies do not outlive two of them at once.
const MIN_LOSS_INTERVAL: Duration = Duration::from_secs(20);

/// Injects one fault.
pub(crate) fn inject(world: &mut Simulation) -> Result<(), Violation> {
    world.count_fault();
    match world.rng.random_range(0..9) {
        0 | 1 => reclaim_data_centre(world),
        2 => kill_node(world),
        3 => pause_node(world),
        4 => terminate_node(world),
        5 => crash_engine(world),
        6 => {
            let outage = Duration::from_millis(world.rng.random_range(500..15_000));
            world.topics.unavailable_until = world.now + outage;
        }
        7 => {
            let outage = Duration::from_millis(world.rng.random_range(500..20_000));
            world.list_down_until = world.now + outage;
        }
        _ => reclaim_endpoint(world),
    }
    Ok(())
}

fn running_slots(world: &Simulation) -> Vec<usize> {
    let running = |slot: &usize| world.slots[*slot].is_running() && !world.slots[*slot].is_paused();
    (0..world.slots.len()).filter(running).collect()
}

fn draw_slot(world: &mut Simulation, slots: &[usize]) -> Option<usize> {
    if slots.is_empty() {
        return None;
    }
    Some(slots[world.rng.random_range(0..slots.len())])
}

/// Whether a loss without notice is due; no other loss may come while it is repaired.
fn reserve_loss(world: &mut Simulation) -> bool {
    if world.now < world.next_loss_allowed_at {
        return false;
    }
    world.next_loss_allowed_at = world.now + MIN_LOSS_INTERVAL;
    true
}

fn kill_node(world: &mut Simulation) {
    let running = running_slots(world);
    if running.len() < world.slots.len() || !reserve_loss(world) {
        return;
    }
    let Some(slot) = draw_slot(world, &running) else { return };
    let process = world.slots[slot].process;
    world.kill_process(slot, process);
    let wait = Duration::from_millis(world.rng.random_range(500..9_000));
    world.schedule_after(wait, ScheduledEvent::StartProcess { slot });
}

fn pause_node(world: &mut Simulation) {
    let running = running_slots(world);
    if running.len() < world.slots.len() || !reserve_loss(world) {
        return;
    }
    let Some(slot) = draw_slot(world, &running) else { return };
    let process = world.slots[slot].process;
    world.slots[slot].pause();
    let wait = Duration::from_millis(world.rng.random_range(100..12_000));
    world.schedule_after(wait, ScheduledEvent::ResumeProcess { slot, process });
}

fn terminate_node(world: &mut Simulation) {
    let running = running_slots(world);
    if running.len() < world.slots.len() || !reserve_loss(world) {
        return;
    }
    let Some(slot) = draw_slot(world, &running) else { return };
    let process = world.slots[slot].process;
    world.schedule_after(Duration::ZERO, ScheduledEvent::Terminate { slot, process });
    if world.rng.random_bool(0.5) {
        let wait = Duration::from_millis(world.rng.random_range(1..3_000));
        world.schedule_after(wait, ScheduledEvent::Terminate { slot, process });
    }
}

fn crash_engine(world: &mut Simulation) {
    let ids: Vec<u64> = world.engines.keys().copied().collect();
    let endpoint = ids[world.rng.random_range(0..ids.len())];
    let downtime = Duration::from_millis(world.rng.random_range(200..5_000));
    let until = world.now + downtime;
    if let Some(engine) = world.engines.get_mut(&endpoint) {
        engine.down_until = until;
    }
}

/// One endpoint is given notice.
fn reclaim_endpoint(world: &mut Simulation) {
    let ids: Vec<u64> = world.engines.keys().copied().collect();
    let endpoint = ids[world.rng.random_range(0..ids.len())];
    let notice = Duration::from_millis(world.rng.random_range(2_000..12_000));
    let now = world.now;
    let Some(engine) = world.engines.get_mut(&endpoint) else { return };
    if engine.notice_at.is_some() {
        return;
    }
    engine.notice_at = Some(now);
    engine.reclaimed_at = Some(now + notice);
    let data_centre = engine.data_centre;
    let leave_at = Simulation::wall_time(now + notice);
    world.send_notices(vec![event::Notice { instance: endpoint, leave_at }]);
    world.schedule_after(
        notice + Duration::from_secs(1),
        ScheduledEvent::ReplaceEndpoints { data_centre },
    );
}

/// A whole data centre is reclaimed on a notice of seconds.
fn reclaim_data_centre(world: &mut Simulation) {
    let running = running_slots(world);
    if running.len() < world.slots.len() || !reserve_loss(world) {
        return;
    }
    let data_centre = world.rng.random_range(0..DATA_CENTRES);
    let notice = Duration::from_millis(world.rng.random_range(4_000..12_000));
    let leave_at = world.now + notice;
    world.next_loss_allowed_at = leave_at + MIN_LOSS_INTERVAL;
    let mut notices = Vec::new();
    let now = world.now;
    for engine in world.engines.values_mut() {
        if engine.data_centre == data_centre && engine.notice_at.is_none() {
            engine.notice_at = Some(now);
            engine.reclaimed_at = Some(leave_at);
            let leave_at = Simulation::wall_time(leave_at);
            notices.push(event::Notice { instance: engine.endpoint, leave_at });
        }
    }
    for slot in 0..world.slots.len() {
        if slot % DATA_CENTRES != data_centre {
            continue;
        }
        let process = world.slots[slot].process;
        let instance = world.slots[slot].instance;
        notices.push(event::Notice { instance, leave_at: Simulation::wall_time(leave_at) });
        // Some processes die partway through.
        let dies_early = world.rng.random_bool(0.3);
        let share = if dies_early { world.rng.random_range(0.05..1.0) } else { 1.0 };
        let dies_at = now + notice.mul_f64(share);
        world.schedule_at(dies_at, ScheduledEvent::KillProcess { slot, process });
        let wait = Duration::from_millis(world.rng.random_range(1_000..9_000));
        world.schedule_at(leave_at + wait, ScheduledEvent::StartProcess { slot });
    }
    world.send_notices(notices);
    let wait = Duration::from_millis(world.rng.random_range(500..8_000));
    world.schedule_at(leave_at + wait, ScheduledEvent::ReplaceEndpoints { data_centre });
}
