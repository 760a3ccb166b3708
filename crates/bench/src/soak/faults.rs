//! Planned and unplanned events, which are drawn from a seed.

use std::{
    cell::RefCell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::sync::mpsc;

use super::{Observation, Site, SiteProcess, site::wait_until, tally::Event};

/// Timeout for a graceful exit. Feeds take 10 s, and a feed may stall for as long
/// as a fault lasts.
const GRACEFUL_EXIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Time until a restarted process takes part again: a new upstream gets a share
/// 2 s after it was announced.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Fraction of the run, from its start, in which all events are planned, so that
/// a broken flow cannot be attributed to an unplanned one.
const PLANNED_RUN_FRACTION: f64 = 0.4;

/// What an event does to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    /// SIGTERM, and a start after the exit.
    Restart,
    /// SIGKILL, and a start after this delay.
    Kill(Duration),
    /// SIGSTOP, and SIGCONT after this delay.
    Freeze(Duration),
}

/// Runs random events, one or two at a time.
pub struct FaultInjector {
    site: Rc<RefCell<Site>>,
    rng: StdRng,
    observations: mpsc::Sender<Observation>,
}

impl FaultInjector {
    /// Creates an injector for `site`, whose events `seed` determines.
    #[must_use]
    pub fn new(
        site: Rc<RefCell<Site>>,
        seed: u64,
        observations: mpsc::Sender<Observation>,
    ) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        FaultInjector {
            site,
            rng,
            observations,
        }
    }

    /// Runs events until `until`; returns when the last one is over.
    ///
    /// # Errors
    ///
    /// A process cannot be restarted.
    pub async fn run(mut self, until: Instant) -> io::Result<()> {
        let start = Instant::now();
        let planned_until = start + (until - start).mul_f64(PLANNED_RUN_FRACTION);
        while Instant::now() < until {
            let planned = Instant::now() < planned_until;
            let (first, second) = self.draw(planned);
            let other = async {
                match second {
                    Some(event) => self.run_event(event).await,
                    None => Ok(()),
                }
            };
            let (one, two) = tokio::join!(self.run_event(first), other);
            one.and(two)?;
        }
        Ok(())
    }

    /// Draws one event, and with probability 1/3 a second one for a process of
    /// another role.
    fn draw(
        &mut self,
        planned: bool,
    ) -> ((SiteProcess, EventKind), Option<(SiteProcess, EventKind)>) {
        let processes: Vec<SiteProcess> = Site::all_processes().collect();
        let process = *processes
            .choose(&mut self.rng)
            .expect("a site has processes");
        let others: Vec<SiteProcess> = processes
            .into_iter()
            .filter(|other| role(*other) != role(process))
            .collect();
        let other = *others.choose(&mut self.rng).expect("a site has roles");
        let events = [process, other].map(|process| (process, self.draw_kind(planned)));
        let both = self.rng.random_bool(1.0 / 3.0);
        (events[0], both.then_some(events[1]))
    }

    fn draw_kind(&mut self, planned: bool) -> EventKind {
        let millis = Duration::from_millis(self.rng.random_range(500..4000));
        match self.rng.random_range(0..4) {
            0 if !planned => EventKind::Freeze(millis),
            1 | 2 if !planned => EventKind::Kill(millis),
            _ => EventKind::Restart,
        }
    }

    async fn run_event(&self, (process, kind): (SiteProcess, EventKind)) -> io::Result<()> {
        let started_at = Instant::now();
        match kind {
            EventKind::Restart => {
                self.signal(process, Signal::SIGTERM);
                let ended = async || self.site.borrow_mut().exit_success(process).is_some();
                if !wait_until(started_at + GRACEFUL_EXIT_TIMEOUT, ended).await {
                    self.record(Observation::UngracefulExit(format!(
                        "{process} did not exit within {GRACEFUL_EXIT_TIMEOUT:?} after SIGTERM"
                    )))
                    .await;
                    self.kill(process).await;
                } else if self.site.borrow_mut().exit_success(process) != Some(true) {
                    self.record(Observation::UngracefulExit(format!(
                        "{process} exited with a failure status after SIGTERM"
                    )))
                    .await;
                }
                self.site.borrow_mut().spawn(process)?;
            }
            EventKind::Kill(pause) => {
                self.kill(process).await;
                sleep(pause).await;
                self.site.borrow_mut().spawn(process)?;
            }
            EventKind::Freeze(pause) => {
                self.signal(process, Signal::SIGSTOP);
                sleep(pause).await;
                self.signal(process, Signal::SIGCONT);
            }
        }
        sleep(SETTLE_TIME).await;
        let event = Event {
            description: format!("{kind:?} {process}"),
            planned: kind == EventKind::Restart,
            started_at,
            ended_at: Instant::now(),
        };
        self.record(Observation::Event(event)).await;
        Ok(())
    }

    async fn kill(&self, process: SiteProcess) {
        self.signal(process, Signal::SIGKILL);
        let ended = async || self.site.borrow_mut().exit_success(process).is_some();
        wait_until(Instant::now() + GRACEFUL_EXIT_TIMEOUT, ended).await;
    }

    fn signal(&self, process: SiteProcess, signal: Signal) {
        self.site.borrow().signal(process, signal);
    }

    async fn record(&self, observation: Observation) {
        // Cannot fail: the tally receives until the last sender is dropped.
        let _ = self.observations.send(observation).await;
    }
}

fn role(process: SiteProcess) -> u8 {
    match process {
        SiteProcess::Control(_) => 0,
        SiteProcess::Balancer(_) => 1,
        SiteProcess::Agent(_) => 2,
    }
}
