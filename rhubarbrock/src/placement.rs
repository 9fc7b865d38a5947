//! Order in which nodes are asked to store a backup of a request, and to look it up.

use std::collections::BTreeMap;

use crate::id;
use crate::member_table;
use crate::membership;
use crate::rendezvous;

/// Location of a node, and whether it takes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Node id.
    pub node: id::NodeId,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Region of that data centre, empty if there is only one.
    pub region: String,
    /// Whether membership does not consider it dead.
    pub running: bool,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
}

impl Place {
    /// Whether requests and backups may be given to this node.
    pub fn takes_work(&self) -> bool {
        self.running && !self.leaving
    }
}

/// Places by node id.
pub type Places = BTreeMap<id::NodeId, Place>;

/// Places of all known members, including dead ones and this node.
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
    let me = place(membership.own_record(), true, membership.is_leaving());
    others.chain([me]).map(|place| (place.node, place)).collect()
}

/// Nodes that may store a backup of `request` for a holder at `place`, most preferred first.
///
/// Nodes in other data centres of the same region come first, then nodes in other
/// regions, which are expensive to reach and sometimes partitioned, then nodes in
/// the holder's own data centre.
pub fn custodian_candidates(
    request: id::RequestId,
    place: &Place,
    places: &Places,
) -> Vec<id::NodeId> {
    let in_region =
        |other: &Place| other.region == place.region && other.data_centre != place.data_centre;
    let in_other_region = |other: &Place| other.region != place.region;
    let in_data_centre =
        |other: &Place| other.region == place.region && other.data_centre == place.data_centre;
    let groups: [&dyn Fn(&Place) -> bool; 3] = [&in_region, &in_other_region, &in_data_centre];
    let mut order = Vec::new();
    for is_in_group in groups {
        let usable = places
            .values()
            .filter(|other| other.node != place.node && other.takes_work() && is_in_group(other));
        order.extend(rendezvous::rank(key(request), usable.map(|other| other.node)));
    }
    order
}

/// Running nodes to ask for `request`, most likely first, without `me`.
///
/// The node that accepted it comes first, then its custodian candidates, then all
/// other nodes.
pub fn lookup_order(request: id::RequestId, me: id::NodeId, places: &Places) -> Vec<id::NodeId> {
    let accepted_by = places.get(&request.holder);
    let running = places.values().filter(|place| place.running).map(|place| place.node);
    let all = rendezvous::rank(key(request), running);
    let candidates = match accepted_by {
        Some(place) => custodian_candidates(request, place, places),
        None => Vec::new(),
    };
    let acceptor = accepted_by.filter(|place| place.running).map(|place| place.node);
    let mut order: Vec<id::NodeId> = Vec::new();
    let mut seen = std::collections::BTreeSet::from([me]);
    for node in acceptor.into_iter().chain(candidates).chain(all) {
        if seen.insert(node) {
            order.push(node);
        }
    }
    order
}

fn key(request: id::RequestId) -> u64 {
    request.secret as u64
}
