//! The balancers that an agent knows, and which of them take over flows.
//!
//! Flows move from balancer to balancer when one leaves, comes back or is
//! added. To search for each of them costs more datagrams than to tell the
//! balancers that take over, and delays the flows.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use directory::{Node, NodeRole, ViewChanges};
use types::DataCentre;

/// The balancers that an agent knows.
#[derive(Debug, Default)]
pub struct BalancerTable {
    known: BTreeMap<SocketAddrV4, Known>,
}

#[derive(Debug)]
struct Known {
    run: u64,
    data_centre: DataCentre,
    leaving: bool,
}

/// Flows that came by way of some balancers may now come by way of others.
#[derive(Debug, PartialEq, Eq)]
pub struct Handover {
    /// Where the flows came from; a balancer that has started again is one of them.
    pub from: BTreeSet<SocketAddrV4>,
    /// Who takes them over.
    pub to: Vec<SocketAddrV4>,
}

impl BalancerTable {
    /// Notes changes of the directory and returns what follows for flows.
    pub fn handovers(&mut self, changes: &ViewChanges) -> Vec<Handover> {
        let mut handovers = Vec::new();
        for node in &changes.removed {
            handovers.extend(self.removed(node));
        }
        for node in &changes.changed {
            if node.role == NodeRole::Balancer {
                handovers.extend(self.changed(node));
            }
        }
        handovers.retain(|handover| !handover.to.is_empty());
        handovers
    }

    fn removed(&mut self, node: &Node) -> Option<Handover> {
        let known = self.known.remove(&node.address)?;
        // One that said that it leaves has been replaced already.
        (!known.leaving).then(|| Handover {
            from: [node.address].into(),
            to: self.others(node.address, &known.data_centre),
        })
    }

    fn changed(&mut self, node: &Node) -> Option<Handover> {
        let known = Known {
            run: node.incarnation,
            data_centre: node.data_centre.clone(),
            leaving: node.leaving,
        };
        let former = self.known.insert(node.address, known);
        let started = former.as_ref().is_none_or(|f| f.run != node.incarnation);
        if node.leaving {
            let said_before = former.is_some_and(|f| f.leaving && f.run == node.incarnation);
            return (!said_before).then(|| Handover {
                from: [node.address].into(),
                to: self.others(node.address, &node.data_centre),
            });
        }
        started.then(|| Handover {
            from: self.all_in(&node.data_centre),
            to: vec![node.address],
        })
    }

    /// The balancers of a data centre, also those that leave.
    fn all_in(&self, data_centre: &DataCentre) -> BTreeSet<SocketAddrV4> {
        let known = self.known.iter();
        let known = known.filter(|(_, known)| known.data_centre == *data_centre);
        known.map(|(address, _)| *address).collect()
    }

    /// The balancers that get the flows of one that has gone: the fabric keeps
    /// a caller's datagrams in a data centre.
    fn others(&self, gone: SocketAddrV4, data_centre: &DataCentre) -> Vec<SocketAddrV4> {
        let known = self.known.iter();
        let known = known.filter(|(address, known)| {
            !known.leaving && known.data_centre == *data_centre && **address != gone
        });
        known.map(|(address, _)| *address).collect()
    }
}
