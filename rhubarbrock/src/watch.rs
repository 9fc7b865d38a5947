//! Choice of the nodes that watch an endpoint.

use rhubarbrock_schema::peer;

use crate::id;
use crate::member_table;
use crate::membership;
use crate::rendezvous;

/// Number of nodes that watch one endpoint, so that the loss of one can be tolerated.
pub const WATCHERS_PER_ENDPOINT: usize = 2;

/// Returns the nodes that watch an endpoint in `data_centre`, nearest first.
///
/// One watcher runs in that data centre and one outside it, because an outage
/// of a data centre takes its nodes down together with its endpoints. If one of
/// the two groups is empty, both watchers come from the other. The watcher outside
/// runs in the same region if that is known and has a candidate. Dead and leaving
/// nodes are not chosen.
pub fn watchers(
    membership: &membership::Membership,
    endpoint: id::EndpointId,
    data_centre: &str,
) -> Vec<id::NodeId> {
    let me = membership.own_record();
    let usable = |known: &&member_table::KnownMember| {
        known.state != member_table::State::Dead && !known.leaving
    };
    let own = (!membership.is_leaving()).then_some(me);
    let others = membership.members().filter(usable).map(|known| &known.record);
    let candidates: Vec<&peer::Member> = others.chain(own).collect();
    let mut known = membership.members().map(|known| &known.record).chain([me]);
    let region = known.find(|member| member.data_centre == data_centre).map(|found| &found.region);
    let rank = |is_wanted: &dyn Fn(&peer::Member) -> bool| {
        let wanted = candidates.iter().filter(|member| is_wanted(member));
        rendezvous::rank(endpoint, wanted.map(|member| member.node))
    };
    let is_near = |member: &peer::Member| member.data_centre == data_centre;
    let near = rank(&is_near);
    let mut far = rank(&|member| !is_near(member) && Some(&member.region) == region);
    if far.is_empty() {
        far = rank(&|member| !is_near(member));
    }
    let near_count = if far.is_empty() { WATCHERS_PER_ENDPOINT } else { 1 };
    let mut chosen: Vec<id::NodeId> = near.into_iter().take(near_count).collect();
    let far_count = WATCHERS_PER_ENDPOINT - chosen.len();
    chosen.extend(far.into_iter().take(far_count));
    chosen
}
