//! Fault injection for the node simulation.

use std::time::Duration;

use rand::Rng;
use rhubarbrock::event;

use crate::Violation;
use crate::node_simulation::{ScheduledEvent, Simulation};

/// Number of data centres over which slots and engines are spread.
pub(crate) const DATA_CENTRES: usize = 3;

/// Minimum time between losses of nodes. A request has two copies, which two losses in quick
/// succession could both destroy.
const MIN_LOSS_INTERVAL: Duration = Duration::from_secs(20);

/// Injects one randomly drawn fault.
pub(crate) fn inject(simulation: &mut Simulation) -> Result<(), Violation> {
    simulation.count_fault();
    match simulation.rng.random_range(0..9) {
        0 | 1 => reclaim_data_centre(simulation),
        2 => kill_node(simulation),
        3 => pause_node(simulation),
        4 => terminate_node(simulation),
        5 => crash_engine(simulation),
        6 => {
            let outage = Duration::from_millis(simulation.rng.random_range(500..15_000));
            simulation.topics.unavailable_until = simulation.now + outage;
        }
        7 => {
            let outage = Duration::from_millis(simulation.rng.random_range(500..20_000));
            simulation.list_down_until = simulation.now + outage;
        }
        _ => reclaim_endpoint(simulation),
    }
    Ok(())
}

fn running_slots(simulation: &Simulation) -> Vec<usize> {
    let running =
        |slot: &usize| simulation.slots[*slot].is_running() && !simulation.slots[*slot].is_paused();
    (0..simulation.slots.len()).filter(running).collect()
}

fn draw_slot(simulation: &mut Simulation, slots: &[usize]) -> Option<usize> {
    if slots.is_empty() {
        return None;
    }
    Some(slots[simulation.rng.random_range(0..slots.len())])
}

/// Whether another loss of nodes is allowed now. If so, blocks further losses for
/// [`MIN_LOSS_INTERVAL`], in which the copies are restored.
fn reserve_loss(simulation: &mut Simulation) -> bool {
    if simulation.now < simulation.next_loss_allowed_at {
        return false;
    }
    simulation.next_loss_allowed_at = simulation.now + MIN_LOSS_INTERVAL;
    true
}

fn kill_node(simulation: &mut Simulation) {
    let running = running_slots(simulation);
    if running.len() < simulation.slots.len() || !reserve_loss(simulation) {
        return;
    }
    let Some(slot) = draw_slot(simulation, &running) else { return };
    let process = simulation.slots[slot].process;
    simulation.kill_process(slot, process);
    let wait = Duration::from_millis(simulation.rng.random_range(500..9_000));
    simulation.schedule_after(wait, ScheduledEvent::StartProcess { slot });
}

fn pause_node(simulation: &mut Simulation) {
    let running = running_slots(simulation);
    if running.len() < simulation.slots.len() || !reserve_loss(simulation) {
        return;
    }
    let Some(slot) = draw_slot(simulation, &running) else { return };
    let process = simulation.slots[slot].process;
    simulation.slots[slot].pause();
    let wait = Duration::from_millis(simulation.rng.random_range(100..12_000));
    simulation.schedule_after(wait, ScheduledEvent::ResumeProcess { slot, process });
}

fn terminate_node(simulation: &mut Simulation) {
    let running = running_slots(simulation);
    if running.len() < simulation.slots.len() || !reserve_loss(simulation) {
        return;
    }
    let Some(slot) = draw_slot(simulation, &running) else { return };
    let process = simulation.slots[slot].process;
    simulation.schedule_after(Duration::ZERO, ScheduledEvent::Terminate { slot, process });
    if simulation.rng.random_bool(0.5) {
        let wait = Duration::from_millis(simulation.rng.random_range(1..3_000));
        simulation.schedule_after(wait, ScheduledEvent::Terminate { slot, process });
    }
}

fn crash_engine(simulation: &mut Simulation) {
    let ids: Vec<u64> = simulation.engines.keys().copied().collect();
    let endpoint = ids[simulation.rng.random_range(0..ids.len())];
    let downtime = Duration::from_millis(simulation.rng.random_range(200..5_000));
    let until = simulation.now + downtime;
    if let Some(engine) = simulation.engines.get_mut(&endpoint) {
        engine.down_until = until;
    }
}

/// Gives one endpoint a reclaim notice.
fn reclaim_endpoint(simulation: &mut Simulation) {
    let ids: Vec<u64> = simulation.engines.keys().copied().collect();
    let endpoint = ids[simulation.rng.random_range(0..ids.len())];
    let notice = Duration::from_millis(simulation.rng.random_range(2_000..12_000));
    let now = simulation.now;
    let Some(engine) = simulation.engines.get_mut(&endpoint) else { return };
    if engine.notice_at.is_some() {
        return;
    }
    engine.notice_at = Some(now);
    engine.reclaimed_at = Some(now + notice);
    let data_centre = engine.data_centre;
    let leave_at = Simulation::wall_time(now + notice);
    simulation.send_notices(vec![event::Notice { instance: endpoint, leave_at }]);
    simulation.schedule_after(
        notice + Duration::from_secs(1),
        ScheduledEvent::ReplaceEndpoints { data_centre },
    );
}

/// Reclaims a whole data centre with a notice of some seconds.
fn reclaim_data_centre(simulation: &mut Simulation) {
    let running = running_slots(simulation);
    if running.len() < simulation.slots.len() || !reserve_loss(simulation) {
        return;
    }
    let data_centre = simulation.rng.random_range(0..DATA_CENTRES);
    let notice = Duration::from_millis(simulation.rng.random_range(4_000..12_000));
    let leave_at = simulation.now + notice;
    simulation.next_loss_allowed_at = leave_at + MIN_LOSS_INTERVAL;
    let mut notices = Vec::new();
    let now = simulation.now;
    for engine in simulation.engines.values_mut() {
        if engine.data_centre == data_centre && engine.notice_at.is_none() {
            engine.notice_at = Some(now);
            engine.reclaimed_at = Some(leave_at);
            let leave_at = Simulation::wall_time(leave_at);
            notices.push(event::Notice { instance: engine.endpoint, leave_at });
        }
    }
    for slot in 0..simulation.slots.len() {
        if slot % DATA_CENTRES != data_centre {
            continue;
        }
        let process = simulation.slots[slot].process;
        let instance = simulation.slots[slot].instance;
        notices.push(event::Notice { instance, leave_at: Simulation::wall_time(leave_at) });
        // Some processes are killed before the notice period ends.
        let dies_early = simulation.rng.random_bool(0.3);
        let share = if dies_early { simulation.rng.random_range(0.05..1.0) } else { 1.0 };
        let dies_at = now + notice.mul_f64(share);
        simulation.schedule_at(dies_at, ScheduledEvent::KillProcess { slot, process });
        let wait = Duration::from_millis(simulation.rng.random_range(1_000..9_000));
        simulation.schedule_at(leave_at + wait, ScheduledEvent::StartProcess { slot });
    }
    simulation.send_notices(notices);
    let wait = Duration::from_millis(simulation.rng.random_range(500..8_000));
    simulation.schedule_at(leave_at + wait, ScheduledEvent::ReplaceEndpoints { data_centre });
}
