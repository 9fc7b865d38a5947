//! Which nodes watch an endpoint.

use crate::id;
use crate::member_table;
use crate::membership;
use crate::rendezvous;

/// Nodes that watch one endpoint, so that one of them may go.
pub const WATCHERS: usize = 2;

/// The nodes that watch an endpoint in `data_centre`, best first.
///
/// They are nodes of that data centre that don't leave; where it has none, of
/// its region, if a node of that data centre was ever known; else any.
pub fn watchers(
    membership: &membership::Membership,
    endpoint: id::EndpointId,
    data_centre: &str,
) -> Vec<id::NodeId> {
    let me = membership.me();
    let usable =
        |known: &&member_table::Known| known.state != member_table::State::Dead && !known.leaving;
    let mine = (!membership.is_leaving()).then_some(me);
    let candidates = || {
        let others = membership.members().filter(usable).map(|known| &known.record);
        others.chain(mine)
    };
    let near: Vec<id::NodeId> = candidates()
        .filter(|member| member.data_centre == data_centre)
        .map(|member| member.node)
        .collect();
    if !near.is_empty() {
        return rendezvous::top(endpoint, near, WATCHERS);
    }
    let mut once = membership.members().map(|known| &known.record);
    let region = once.find(|member| member.data_centre == data_centre).map(|found| &found.region);
    let in_region: Vec<id::NodeId> = candidates()
        .filter(|member| Some(&member.region) == region)
        .map(|member| member.node)
        .collect();
    if !in_region.is_empty() {
        return rendezvous::top(endpoint, in_region, WATCHERS);
    }
    rendezvous::top(endpoint, candidates().map(|member| member.node), WATCHERS)
}
