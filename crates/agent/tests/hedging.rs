//! Races between a request and its hedge, and the peers that may get hedges.

use std::{future::Future, rc::Rc, time::Instant};

use actix_rt::{spawn, task::JoinHandle};
use admit::{Failure, Progress};
use agent::{
    process::{AdmissionCommand, AdmissionHandle, HedgeReply, HedgeSlot, PeerSlot},
    request::{AttemptError, HedgeRace, RaceEnd, Winner},
    version::{Peer, VersionView},
};
use hedge::{CandidateState, Denial, Withdrawal};
use tokio::sync::{mpsc, oneshot};
use types::{
    ClassName, HostName, ReservationId, Service, ServiceState, Share, UpstreamId, UpstreamMember,
    UpstreamState, Version,
};

type Outcome = Result<&'static str, AttemptError>;

const REFUSED: AttemptError = AttemptError {
    progress: Progress::NotStarted,
    failure: Failure::Connect,
};
const LOST: AttemptError = AttemptError {
    progress: Progress::Started,
    failure: Failure::Broken,
};

/// What a race returned to admission, in order.
#[derive(Debug, PartialEq, Eq)]
enum Returned {
    /// The hedge was sent.
    Sent,
    /// The slot and the part of the budget.
    Unsent,
    /// The slot only.
    Slot,
}

/// A race that is due for a hedge, with scripted upstreams and a scripted admission.
struct Race {
    commands: mpsc::UnboundedReceiver<AdmissionCommand>,
    admission: AdmissionHandle,
    primary: Option<oneshot::Sender<Outcome>>,
    hedge: Option<oneshot::Sender<Outcome>>,
    hedge_started: oneshot::Receiver<PeerSlot>,
    /// Dropped by the copies when they end or are cancelled.
    running: Rc<()>,
    task: JoinHandle<RaceEnd<&'static str>>,
}

async fn copy(outcome: oneshot::Receiver<Outcome>, _running: Rc<()>) -> Outcome {
    outcome.await.expect("the script sends an outcome")
}

impl Race {
    fn start() -> Self {
        let (admission, commands) = AdmissionHandle::channel();
        let (primary, primary_rx) = oneshot::channel();
        let (hedge, hedge_rx) = oneshot::channel();
        let (started_tx, hedge_started) = oneshot::channel();
        let running = Rc::new(());
        let (first, second) = (running.clone(), running.clone());
        let handle = admission.clone();
        let task = spawn(async move {
            let class = ClassName::default();
            let race = HedgeRace {
                admission: &handle,
                class: &class,
                due: Instant::now(),
            };
            let hedge = |slot| {
                started_tx.send(slot).expect("the script waits");
                copy(hedge_rx, second)
            };
            race.run(copy(primary_rx, first), async |text| Ok(text), hedge)
                .await
        });
        Race {
            commands,
            admission,
            primary: Some(primary),
            hedge: Some(hedge),
            hedge_started,
            running,
            task,
        }
    }

    /// Waits for the request for a hedge.
    async fn asked(&mut self) -> oneshot::Sender<HedgeReply> {
        match self.commands.recv().await {
            Some(AdmissionCommand::Hedge(_, tx)) => tx,
            other => panic!("no request for a hedge: {other:?}"),
        }
    }

    fn slot(&self) -> HedgeReply {
        let address = "127.0.0.1:9".parse().unwrap();
        let peer = Peer {
            data_centre: "dc1".parse().unwrap(),
            address,
        };
        let slot = PeerSlot {
            upstream: UpstreamId(2),
            peer,
            reservation: ReservationId(3),
        };
        let withdrawal = Withdrawal {
            class: ClassName::default(),
            at: Instant::now(),
        };
        HedgeReply::Send(HedgeSlot::new(slot, withdrawal, self.admission.clone()))
    }

    /// Reserves a slot and waits until the hedge runs.
    async fn run_hedge(&mut self) {
        let tx = self.asked().await;
        tx.send(self.slot()).expect("the request waits");
        (&mut self.hedge_started).await.expect("a hedge");
    }

    fn end_primary(&mut self, outcome: Outcome) {
        // The copy may have been cancelled.
        let _ = self.primary.take().unwrap().send(outcome);
    }

    fn end_hedge(&mut self, outcome: Outcome) {
        let _ = self.hedge.take().unwrap().send(outcome);
    }

    /// Waits for the end; no copy runs any more.
    async fn end(mut self) -> (RaceEnd<&'static str>, Vec<Returned>) {
        let end = self.task.await.expect("an end");
        assert_eq!(Rc::strong_count(&self.running), 1, "a copy still runs");
        (end, returned(&mut self.commands))
    }
}

fn returned(commands: &mut mpsc::UnboundedReceiver<AdmissionCommand>) -> Vec<Returned> {
    let mut all = Vec::new();
    while let Ok(command) = commands.try_recv() {
        all.push(match command {
            AdmissionCommand::HedgeSent(_) => Returned::Sent,
            AdmissionCommand::HedgeUnused(_, Some(_)) => Returned::Unsent,
            AdmissionCommand::HedgeUnused(_, None) => Returned::Slot,
            other => panic!("{other:?}"),
        });
    }
    all
}

async fn check<F: Future<Output = Race>>(
    script: F,
    result: Result<Winner<&'static str>, AttemptError>,
    label: &'static str,
    expected: &[Returned],
) {
    let (end, returned) = script.await.end().await;
    let label = Some(label);
    assert_eq!(
        (end, returned.as_slice()),
        (RaceEnd { result, label }, expected)
    );
}

/// Guards against a request that gets no response or the wrong one when copies fail, and
/// against "not run" for a request of which one copy may have run.
#[actix_rt::test]
async fn failed_copies_leave_the_other_one() {
    use Returned::{Sent, Slot};
    let run = async |primary: Outcome, hedge: Outcome, primary_first: bool| {
        let mut race = Race::start();
        race.run_hedge().await;
        if primary_first {
            race.end_primary(primary);
            actix_rt::task::yield_now().await;
            race.end_hedge(hedge);
        } else {
            race.end_hedge(hedge);
            actix_rt::task::yield_now().await;
            race.end_primary(primary);
        }
        race
    };
    let unknown = AttemptError {
        progress: Progress::Started,
        ..REFUSED
    };
    for first in [true, false] {
        let won = Ok(Winner::Hedge("hedge", Some(LOST)));
        if first {
            check(run(Err(LOST), Ok("hedge"), first), won, "won", &[Sent]).await;
        }
        let primary = Ok(Winner::Primary("primary"));
        let label = if first { "lost" } else { "failed" };
        check(
            run(Ok("primary"), Err(LOST), first),
            primary,
            label,
            &[Sent, Slot],
        )
        .await;
        let both = run(Err(REFUSED), Err(LOST), first);
        check(both, Err(unknown), "failed", &[Sent, Slot]).await;
        let both = run(Err(REFUSED), Err(REFUSED), first);
        check(both, Err(REFUSED), "failed", &[Sent, Slot]).await;
    }
    let hedge_first = run(Err(LOST), Ok("hedge"), false);
    check(
        hedge_first,
        Ok(Winner::Hedge("hedge", None)),
        "won",
        &[Sent],
    )
    .await;
    let at_once = async {
        let mut race = Race::start();
        race.run_hedge().await;
        race.end_hedge(Ok("hedge"));
        race.end_primary(Ok("primary"));
        race
    };
    check(
        at_once,
        Ok(Winner::Primary("primary")),
        "lost",
        &[Sent, Slot],
    )
    .await;
}

/// Guards against a slot or a part of the budget that a request keeps which ended before
/// its hedge was sent, also if the slot arrives at the same moment.
#[actix_rt::test]
async fn a_hedge_that_is_not_needed_returns_its_slot_and_budget() {
    use Returned::Unsent;
    for slot_first in [true, false] {
        let at_once = async {
            let mut race = Race::start();
            let tx = race.asked().await;
            if slot_first {
                tx.send(race.slot()).unwrap();
                race.end_primary(Ok("primary"));
            } else {
                race.end_primary(Ok("primary"));
                tx.send(race.slot()).unwrap();
            }
            race
        };
        check(
            at_once,
            Ok(Winner::Primary("primary")),
            "not_needed",
            &[Unsent],
        )
        .await;
    }
    // The budget or the state of the peer changed before the hedge was sent.
    for (denial, label) in [(Denial::Budget, "budget"), (Denial::Off, "off")] {
        let denied = async {
            let mut race = Race::start();
            let tx = race.asked().await;
            tx.send(HedgeReply::Denied(denial)).unwrap();
            actix_rt::task::yield_now().await;
            race.end_primary(Ok("primary"));
            race
        };
        check(denied, Ok(Winner::Primary("primary")), label, &[]).await;
    }
}

/// Guards against copies, slots or parts of the budget that are left behind by a caller
/// that goes away.
#[actix_rt::test]
async fn a_caller_that_goes_away_cancels_both_copies() {
    for (is_sent, expected) in [
        (true, [Returned::Sent, Returned::Slot].as_slice()),
        (false, &[Returned::Unsent]),
    ] {
        let mut race = Race::start();
        if is_sent {
            race.run_hedge().await;
        }
        let tx = if is_sent {
            None
        } else {
            Some(race.asked().await)
        };
        race.task.abort();
        assert!((&mut race.task).await.is_err());
        // The slot arrives after the request has ended.
        if let Some(tx) = tx {
            assert!(tx.send(race.slot()).is_err());
        }
        assert_eq!(returned(&mut race.commands), expected);
        assert_eq!(Rc::strong_count(&race.running), 1, "a copy still runs");
    }
}

/// Guards against hedges to upstreams of evacuated data centres, and against an evacuation
/// that passes for a cold or draining upstream.
#[test]
fn members_of_evacuated_data_centres_count_as_evacuated() {
    use CandidateState::{Cold, Draining, Evacuated, Warm};
    let host: HostName = "app-1".parse().unwrap();
    let address = "127.0.0.1:9".parse().unwrap();
    let member = |state, share, evacuated| UpstreamMember {
        host: host.clone(),
        data_centre: "dc1".parse().unwrap(),
        data_address: address,
        peer_address: address,
        state,
        share: Share(share),
        previous_share: Share(0),
        evacuated,
    };
    let members = [
        (member(UpstreamState::Ready, 1024, false), Warm),
        (member(UpstreamState::Ready, 512, false), Cold),
        (member(UpstreamState::Leaving, 0, false), Draining),
        (member(UpstreamState::Leaving, 0, true), Evacuated),
        (member(UpstreamState::Down, 0, true), Evacuated),
        (member(UpstreamState::Ready, 1024, true), Evacuated),
    ];
    let ids = (1..).map(UpstreamId);
    let service = Service {
        id: types::ServiceId(0),
        name: "vouchers".parse().unwrap(),
        address,
        revision: types::Revision(1),
        author: "operator".parse().unwrap(),
        targets: [].into(),
    };
    let view = VersionView {
        service: Some(ServiceState {
            service,
            members: ids.zip(members.iter().map(|(m, _)| m.clone())).collect(),
            version: Version::default(),
        }),
        ..VersionView::default()
    };
    let expected = (1..).map(UpstreamId).zip(members.map(|(_, state)| state));
    assert_eq!(view.hedge_states(UpstreamId(99)), expected.collect());
}
