//! The balancers that an agent knows, and which of them take over flows.
//!
//! Flows move between balancers when one leaves, restarts or is added. A search
//! for each flow costs more datagrams than a list of the flows for the balancers
//! that take over, and delays the flows.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use directory::{Node, NodeRole, ViewChanges};
use types::DataCentre;

/// The balancers that an agent knows from the directory.
#[derive(Debug, Default)]
pub struct BalancerTable {
    balancers: BTreeMap<SocketAddrV4, KnownBalancer>,
}

#[derive(Debug)]
struct KnownBalancer {
    incarnation: u64,
    data_centre: DataCentre,
    leaving: bool,
}

/// Flows of some balancers may from now on arrive through others.
#[derive(Debug, PartialEq, Eq)]
pub struct Handover {
    /// Balancers that the flows came from; includes a balancer that has restarted.
    pub from: BTreeSet<SocketAddrV4>,
    /// Balancers that take the flows over.
    pub to: Vec<SocketAddrV4>,
}

impl BalancerTable {
    /// Applies changes of the directory and returns the handovers that they cause.
    pub fn apply(&mut self, changes: &ViewChanges) -> Vec<Handover> {
        let mut handovers = Vec::new();
        for node in &changes.removed {
            handovers.extend(self.remove(node));
        }
        for node in &changes.changed {
            if node.role == NodeRole::Balancer {
                handovers.extend(self.update(node));
            }
        }
        handovers.retain(|handover| !handover.to.is_empty());
        handovers
    }

    fn remove(&mut self, node: &Node) -> Option<Handover> {
        let known = self.balancers.remove(&node.address)?;
        // The flows of a leaving balancer were handed over when it announced that.
        (!known.leaving).then(|| Handover {
            from: [node.address].into(),
            to: self.successors(node.address, &known.data_centre),
        })
    }

    fn update(&mut self, node: &Node) -> Option<Handover> {
        let known = KnownBalancer {
            incarnation: node.incarnation,
            data_centre: node.data_centre.clone(),
            leaving: node.leaving,
        };
        let previous = self.balancers.insert(node.address, known);
        let is_new_run = previous
            .as_ref()
            .is_none_or(|f| f.incarnation != node.incarnation);
        if node.leaving {
            let already_leaving =
                previous.is_some_and(|f| f.leaving && f.incarnation == node.incarnation);
            return (!already_leaving).then(|| Handover {
                from: [node.address].into(),
                to: self.successors(node.address, &node.data_centre),
            });
        }
        is_new_run.then(|| Handover {
            from: self.in_data_centre(&node.data_centre),
            to: vec![node.address],
        })
    }

    /// The balancers of a data centre, including leaving ones.
    fn in_data_centre(&self, data_centre: &DataCentre) -> BTreeSet<SocketAddrV4> {
        let known = self.balancers.iter();
        let known = known.filter(|(_, known)| known.data_centre == *data_centre);
        known.map(|(address, _)| *address).collect()
    }

    /// The balancers that receive the flows of one that has gone. The fabric keeps
    /// a caller's datagrams within a data centre.
    fn successors(&self, gone: SocketAddrV4, data_centre: &DataCentre) -> Vec<SocketAddrV4> {
        let known = self.balancers.iter();
        let known = known.filter(|(address, known)| {
            !known.leaving && known.data_centre == *data_centre && **address != gone
        });
        known.map(|(address, _)| *address).collect()
    }
}
