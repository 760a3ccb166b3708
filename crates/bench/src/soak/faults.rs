//! Planned and unplanned events, drawn from a seed.

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

use super::{Note, Part, Site, site::holds_by, tally::Event};

/// Longest time for a process to end gracefully. Feeds last 10 s, and a feed
/// may stand still for as long as a fault.
const GRACEFUL: Duration = Duration::from_mins(1);

/// Time for a restarted process to take part again: a new upstream is known for
/// 2 s before it gets a share.
const SETTLE: Duration = Duration::from_secs(3);

/// Part of the run in which all events are planned, so that what breaks cannot
/// be put down to another one.
const PLANNED_PART: f64 = 0.4;

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// SIGTERM, and a start once it has ended.
    Restart,
    /// SIGKILL, and a start after this time.
    Kill(Duration),
    /// SIGSTOP, and SIGCONT after this time.
    Freeze(Duration),
}

/// Lets events happen, one or two at a time.
pub struct Faults {
    site: Rc<RefCell<Site>>,
    rng: StdRng,
    notes: mpsc::Sender<Note>,
}

impl Faults {
    /// Events for `site`.
    #[must_use]
    pub fn new(site: Rc<RefCell<Site>>, seed: u64, notes: mpsc::Sender<Note>) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Faults { site, rng, notes }
    }

    /// Starts no new event after `until`, and returns when all are over.
    ///
    /// # Errors
    ///
    /// A process cannot be started again.
    pub async fn run(mut self, until: Instant) -> io::Result<()> {
        let start = Instant::now();
        let planned_until = start + (until - start).mul_f64(PLANNED_PART);
        while Instant::now() < until {
            let planned = Instant::now() < planned_until;
            let (first, second) = self.draw(planned);
            let other = async {
                match second {
                    Some(event) => self.happen(event).await,
                    None => Ok(()),
                }
            };
            let (one, two) = tokio::join!(self.happen(first), other);
            one.and(two)?;
        }
        Ok(())
    }

    /// One event, and in a third of the draws another of a part of another role.
    fn draw(&mut self, planned: bool) -> ((Part, Kind), Option<(Part, Kind)>) {
        let parts: Vec<Part> = Site::parts().collect();
        let part = *parts.choose(&mut self.rng).expect("a site has parts");
        let others: Vec<Part> = parts
            .into_iter()
            .filter(|other| role(*other) != role(part))
            .collect();
        let other = *others.choose(&mut self.rng).expect("a site has roles");
        let events = [part, other].map(|part| (part, self.draw_kind(planned)));
        let both = self.rng.random_bool(1.0 / 3.0);
        (events[0], both.then_some(events[1]))
    }

    fn draw_kind(&mut self, planned: bool) -> Kind {
        let millis = Duration::from_millis(self.rng.random_range(500..4000));
        match self.rng.random_range(0..4) {
            0 if !planned => Kind::Freeze(millis),
            1 | 2 if !planned => Kind::Kill(millis),
            _ => Kind::Restart,
        }
    }

    async fn happen(&self, (part, kind): (Part, Kind)) -> io::Result<()> {
        let from = Instant::now();
        match kind {
            Kind::Restart => {
                self.signal(part, Signal::SIGTERM);
                let ended = async || self.site.borrow_mut().ended(part).is_some();
                if !holds_by(from + GRACEFUL, ended).await {
                    self.note(Note::NotGraceful(format!("{part} did not end")))
                        .await;
                    self.kill(part).await;
                } else if self.site.borrow_mut().ended(part) != Some(true) {
                    self.note(Note::NotGraceful(format!("{part} ended with a failure")))
                        .await;
                }
                self.site.borrow_mut().spawn(part)?;
            }
            Kind::Kill(pause) => {
                self.kill(part).await;
                sleep(pause).await;
                self.site.borrow_mut().spawn(part)?;
            }
            Kind::Freeze(pause) => {
                self.signal(part, Signal::SIGSTOP);
                sleep(pause).await;
                self.signal(part, Signal::SIGCONT);
            }
        }
        sleep(SETTLE).await;
        let event = Event {
            what: format!("{kind:?} {part}"),
            planned: kind == Kind::Restart,
            from,
            until: Instant::now(),
        };
        self.note(Note::Event(event)).await;
        Ok(())
    }

    async fn kill(&self, part: Part) {
        self.signal(part, Signal::SIGKILL);
        let ended = async || self.site.borrow_mut().ended(part).is_some();
        holds_by(Instant::now() + GRACEFUL, ended).await;
    }

    fn signal(&self, part: Part, signal: Signal) {
        self.site.borrow().signal(part, signal);
    }

    async fn note(&self, note: Note) {
        // The tally lives as long as any sender.
        let _ = self.notes.send(note).await;
    }
}

fn role(part: Part) -> u8 {
    match part {
        Part::Control(_) => 0,
        Part::Balancer(_) => 1,
        Part::Agent(_) => 2,
    }
}
