//! Every fault at every step of the replicated log.

mod harness;

use consensus::GroupChange;
use harness::{Cluster, Noise, address};
use types::MemberId;

#[derive(Debug, Clone, Copy)]
enum Step {
    Propose,
    Replicate,
    Commit,
    Snapshot,
    Join,
    Promote,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Restart,
    LostDisk,
    FullDisk,
    CutOneWay,
    CutBothWays,
    Freeze,
    Duplicate,
    Delay,
    Drop,
}

const STEPS: [Step; 6] = [
    Step::Propose,
    Step::Replicate,
    Step::Commit,
    Step::Snapshot,
    Step::Join,
    Step::Promote,
];

const FAULTS: [Fault; 10] = [
    Fault::Kill,
    Fault::Restart,
    Fault::LostDisk,
    Fault::FullDisk,
    Fault::CutOneWay,
    Fault::CutBothWays,
    Fault::Freeze,
    Fault::Duplicate,
    Fault::Delay,
    Fault::Drop,
];

const JOINER: MemberId = MemberId(9);

/// Goes up to the middle of a step.
fn begin(cluster: &mut Cluster, step: Step) {
    let leader = cluster.elect();
    match step {
        Step::Propose => {
            cluster.propose(leader);
        }
        Step::Replicate | Step::Commit => {
            cluster.propose(leader);
            cluster.turns(if matches!(step, Step::Replicate) {
                1
            } else {
                3
            });
        }
        Step::Snapshot => {
            cluster.accept();
            cluster.compact(leader);
        }
        Step::Join => {
            cluster.compact(leader);
            cluster.join(JOINER);
            cluster.change(leader, GroupChange::AddLearner(JOINER, address(JOINER)));
            cluster.turns(1);
        }
        Step::Promote => {
            cluster.join(JOINER);
            cluster.changed(GroupChange::AddLearner(JOINER, address(JOINER)));
            let leader = cluster.elect();
            cluster.change(leader, GroupChange::Promote(JOINER));
            cluster.turns(1);
        }
    }
}

fn strike(cluster: &mut Cluster, fault: Fault, victim: MemberId) {
    let other = MemberId(victim.0 % 3 + 1);
    match fault {
        Fault::Kill => cluster.kill(victim),
        Fault::Restart => {
            cluster.kill(victim);
            cluster.restart(victim);
        }
        // A host that lost its disk never comes back under its id.
        Fault::LostDisk => {
            cluster.kill(victim);
            cluster.nodes.remove(&victim);
        }
        Fault::FullDisk => cluster.nodes.get_mut(&victim).unwrap().full = true,
        Fault::CutOneWay => cluster.cut(victim, other),
        Fault::CutBothWays => cluster.isolate(victim),
        Fault::Freeze => cluster.nodes.get_mut(&victim).unwrap().frozen = true,
        Fault::Duplicate => {
            cluster.noise = Noise {
                duplicate: true,
                ..cluster.noise
            }
        }
        Fault::Delay => {
            cluster.noise = Noise {
                delay: true,
                ..cluster.noise
            }
        }
        Fault::Drop => {
            cluster.noise = Noise {
                drop: true,
                ..cluster.noise
            }
        }
    }
}

fn run(step: Step, first: Fault, second: Option<Fault>, seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    cluster.accept();
    begin(&mut cluster, step);
    let victim = MemberId(cluster.pick(3) + 1);
    strike(&mut cluster, first, victim);
    cluster.turns(5);
    if let Some(second) = second {
        // Two lost disks of three are beyond what a group survives.
        let lost = matches!(first, Fault::LostDisk) && matches!(second, Fault::LostDisk);
        let next = MemberId(victim.0 % 3 + 1);
        if !lost {
            strike(&mut cluster, second, next);
        }
    }
    cluster.turns(60);
    for id in cluster.nodes.keys().copied().collect::<Vec<_>>() {
        cluster.propose(id);
    }
    cluster.turns(40);
    cluster.heal();
}

/// Guards against a fault that loses, changes or doubles what was committed.
#[test]
fn one_fault_at_every_step() {
    for (i, step) in STEPS.into_iter().enumerate() {
        for (j, fault) in FAULTS.into_iter().enumerate() {
            for seed in 0..8 {
                println!("{step:?} {fault:?} seed {seed}");
                run(
                    step,
                    fault,
                    None,
                    (i * 1000 + j * 100 + seed + 1) as u64 * 7919,
                );
            }
        }
    }
}

/// Guards against two faults in a row that together lose what one would not.
#[test]
fn two_faults_at_every_step() {
    for (i, step) in STEPS.into_iter().enumerate() {
        for (j, first) in FAULTS.into_iter().enumerate() {
            for (k, second) in FAULTS.into_iter().enumerate() {
                println!("{step:?} {first:?} then {second:?}");
                run(
                    step,
                    first,
                    Some(second),
                    (i * 10000 + j * 100 + k + 1) as u64 * 104_729,
                );
            }
        }
    }
}
