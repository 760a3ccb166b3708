//! Injects every fault, and every pair of faults, during every operation of the
//! replicated log.

mod harness;

use consensus::GroupChange;
use harness::{Cluster, MessageFaults, address};
use types::MemberId;

#[derive(Debug, Clone, Copy)]
enum Operation {
    Propose,
    Replicate,
    Commit,
    Snapshot,
    AddLearner,
    Promote,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash,
    Restart,
    LostDisk,
    FullDisk,
    PartitionOneWay,
    PartitionBothWays,
    Suspend,
    Duplicate,
    Delay,
    Drop,
}

const OPERATIONS: [Operation; 6] = [
    Operation::Propose,
    Operation::Replicate,
    Operation::Commit,
    Operation::Snapshot,
    Operation::AddLearner,
    Operation::Promote,
];

const FAULTS: [Fault; 10] = [
    Fault::Crash,
    Fault::Restart,
    Fault::LostDisk,
    Fault::FullDisk,
    Fault::PartitionOneWay,
    Fault::PartitionBothWays,
    Fault::Suspend,
    Fault::Duplicate,
    Fault::Delay,
    Fault::Drop,
];

const JOINER: MemberId = MemberId(9);

/// Starts the operation and stops before it is complete.
fn begin(cluster: &mut Cluster, operation: Operation) {
    let leader = cluster.elect_leader();
    match operation {
        Operation::Propose => {
            cluster.propose(leader);
        }
        Operation::Replicate | Operation::Commit => {
            cluster.propose(leader);
            cluster.run_steps(if matches!(operation, Operation::Replicate) {
                1
            } else {
                3
            });
        }
        Operation::Snapshot => {
            cluster.propose_until_accepted();
            cluster.compact(leader);
        }
        Operation::AddLearner => {
            cluster.compact(leader);
            cluster.add_process(JOINER);
            cluster.propose_change(leader, GroupChange::AddLearner(JOINER, address(JOINER)));
            cluster.run_steps(1);
        }
        Operation::Promote => {
            cluster.add_process(JOINER);
            cluster.change_until_accepted(GroupChange::AddLearner(JOINER, address(JOINER)));
            let leader = cluster.elect_leader();
            cluster.propose_change(leader, GroupChange::Promote(JOINER));
            cluster.run_steps(1);
        }
    }
}

fn inject(cluster: &mut Cluster, fault: Fault, victim: MemberId) {
    let other = MemberId(victim.0 % 3 + 1);
    match fault {
        Fault::Crash => cluster.crash(victim),
        Fault::Restart => {
            cluster.crash(victim);
            cluster.restart(victim);
        }
        // A host that lost its disk never returns under the same id.
        Fault::LostDisk => {
            cluster.crash(victim);
            cluster.processes.remove(&victim);
        }
        Fault::FullDisk => cluster.processes.get_mut(&victim).unwrap().disk_full = true,
        Fault::PartitionOneWay => cluster.block_link(victim, other),
        Fault::PartitionBothWays => cluster.isolate(victim),
        Fault::Suspend => cluster.processes.get_mut(&victim).unwrap().suspended = true,
        Fault::Duplicate => {
            cluster.message_faults = MessageFaults {
                duplicate: true,
                ..cluster.message_faults
            }
        }
        Fault::Delay => {
            cluster.message_faults = MessageFaults {
                delay: true,
                ..cluster.message_faults
            }
        }
        Fault::Drop => {
            cluster.message_faults = MessageFaults {
                drop: true,
                ..cluster.message_faults
            }
        }
    }
}

fn run(operation: Operation, first: Fault, second: Option<Fault>, seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    cluster.propose_until_accepted();
    begin(&mut cluster, operation);
    let victim = MemberId(cluster.random_below(3) + 1);
    inject(&mut cluster, first, victim);
    cluster.run_steps(5);
    if let Some(second) = second {
        // A group of three does not survive the loss of two disks.
        let lost = matches!(first, Fault::LostDisk) && matches!(second, Fault::LostDisk);
        let next = MemberId(victim.0 % 3 + 1);
        if !lost {
            inject(&mut cluster, second, next);
        }
    }
    cluster.run_steps(60);
    for id in cluster.processes.keys().copied().collect::<Vec<_>>() {
        cluster.propose(id);
    }
    cluster.run_steps(40);
    cluster.heal_and_converge();
}

/// Guards against a fault that loses, changes or duplicates committed entries.
#[test]
fn one_fault_during_every_operation() {
    for (i, operation) in OPERATIONS.into_iter().enumerate() {
        for (j, fault) in FAULTS.into_iter().enumerate() {
            for seed in 0..8 {
                println!("{operation:?} {fault:?} seed {seed}");
                run(
                    operation,
                    fault,
                    None,
                    (i * 1000 + j * 100 + seed + 1) as u64 * 7919,
                );
            }
        }
    }
}

/// Guards against two successive faults that together lose committed entries.
#[test]
fn two_faults_during_every_operation() {
    for (i, operation) in OPERATIONS.into_iter().enumerate() {
        for (j, first) in FAULTS.into_iter().enumerate() {
            for (k, second) in FAULTS.into_iter().enumerate() {
                println!("{operation:?} {first:?} then {second:?}");
                run(
                    operation,
                    first,
                    Some(second),
                    (i * 10000 + j * 100 + k + 1) as u64 * 104_729,
                );
            }
        }
    }
}
