//! In which order nodes are asked to keep a request, and so where to look for it.

use std::collections::BTreeMap;

use crate::id;
use crate::member_table;
use crate::membership;
use crate::rendezvous;

/// Where a node runs and whether it takes work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The node.
    pub node: id::NodeId,
    /// Its data centre.
    pub data_centre: String,
    /// Region of that data centre.
    pub region: String,
    /// Whether it is not dead.
    pub running: bool,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

impl Place {
    /// Whether it may be given requests.
    pub fn takes_work(&self) -> bool {
        self.running && !self.leaving
    }
}

/// Places by node.
pub type Places = BTreeMap<id::NodeId, Place>;

/// The places of all nodes that are remembered, dead ones and this one too.
pub fn from_membership(membership: &membership::Membership) -> Places {
    let place = |node: &rhubarbrock_schema::peer::Member, running, leaving| Place {
        node: node.node,
        data_centre: node.data_centre.clone(),
        region: node.region.clone(),
        running,
        leaving,
    };
    let others = membership
        .members()
        .map(|known| place(&known.record, known.state != member_table::State::Dead, known.leaving));
    let me = place(membership.me(), true, membership.is_leaving());
    others.chain([me]).map(|place| (place.node, place)).collect()
}

/// The nodes that may keep `request` for a holder at `place`, best first.
///
/// Nodes of other data centres of its region go first, then other regions, which
/// are dear to reach and sometimes parted, then its own data centre.
pub fn custodian_candidates(
    request: id::RequestId,
    place: &Place,
    places: &Places,
) -> Vec<id::NodeId> {
    let near =
        |other: &Place| other.region == place.region && other.data_centre != place.data_centre;
    let far = |other: &Place| other.region != place.region;
    let here =
        |other: &Place| other.region == place.region && other.data_centre == place.data_centre;
    let groups: [&dyn Fn(&Place) -> bool; 3] = [&near, &far, &here];
    let mut order = Vec::new();
    for is_in in groups {
        let usable = places
            .values()
            .filter(|other| other.node != place.node && other.takes_work() && is_in(other));
        order.extend(rendezvous::rank(key(request), usable.map(|other| other.node)));
    }
    order
}

/// The running nodes to ask for `request`, the likeliest first, without `me`.
///
/// The node that accepted it goes first, then those that it would have chosen
/// to keep it, then all others.
pub fn lookup_order(request: id::RequestId, me: id::NodeId, places: &Places) -> Vec<id::NodeId> {
    let holder = places.get(&request.holder);
    let running = places.values().filter(|place| place.running).map(|place| place.node);
    let all = rendezvous::rank(key(request), running);
    let likely = match holder {
        Some(place) => custodian_candidates(request, place, places),
        None => Vec::new(),
    };
    let first = holder.filter(|place| place.running).map(|place| place.node);
    let mut order: Vec<id::NodeId> = Vec::new();
    let mut seen = std::collections::BTreeSet::from([me]);
    for node in first.into_iter().chain(likely).chain(all) {
        if seen.insert(node) {
            order.push(node);
        }
    }
    order
}

fn key(request: id::RequestId) -> u64 {
    request.secret as u64
}
