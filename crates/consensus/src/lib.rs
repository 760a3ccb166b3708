//! The replicated log of the control group.
//!
//! A Raft implementation without I/O: it has no sockets, files, clock or tasks.
//! The caller passes every [`Input`] with the current instant to
//! [`Consensus::step`] and carries out the [`Output`]:
//!
//! 1. [`Output::write`] goes to the disk. At most one write is outstanding;
//!    the caller reports its result with [`Input::WriteSynced`] or [`Input::WriteFailed`].
//!    Changes made meanwhile are batched into the next write.
//! 2. [`Output::messages`] may be sent at once. Messages that depend on
//!    a term, a vote or an entry are held back until the write that contains it
//!    is reported as synced.
//!    A message with a [`Transfer`] is large: the caller sends it until its deadline and
//!    reports the end with [`Input::TransferEnded`].
//! 3. [`Output::installed_snapshot`], then [`Output::committed_entries`], go to the state
//!    machine, in this order.
//! 4. [`Output::completions`] answer proposals, group changes and reads. A read is
//!    answered from the state after step 3.
//!
//! [`Consensus::next_deadline`] returns when [`Input::Tick`] is due.
//!
//! ```
//! use consensus::{Consensus, Completion, Group, MemberIdentity, Input, RestoredState, Settings, RequestToken};
//! use std::time::Instant;
//! use types::MemberId;
//!
//! /// Takes one step, with a disk that syncs every write at once.
//! fn run(member: &mut Consensus, now: Instant, input: Input) -> Vec<Completion> {
//!     let mut completions = Vec::new();
//!     let mut next = Some(input);
//!     while let Some(input) = next {
//!         let out = member.step(now, input);
//!         completions.extend(out.completions);
//!         next = out.write.map(|write| Input::WriteSynced(write.id));
//!     }
//!     completions
//! }
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let identity = MemberIdentity { id: MemberId(1), address };
//! let start = Instant::now();
//! let mut member = Consensus::new(Settings::default(), identity, RestoredState::default(), 7, start);
//!
//! // A group of one member elects itself at its first deadline.
//! run(&mut member, start, Input::Bootstrap(Group::from_voters([(identity.id, address)])));
//! let now = member.next_deadline();
//! run(&mut member, now, Input::Tick);
//! assert!(member.status().is_leader());
//!
//! // A proposal is accepted once the entry is synced on a majority.
//! let (token, command) = (RequestToken(1), "open".into());
//! let completions = run(&mut member, now, Input::Propose { token, command });
//! assert!(matches!(completions[..], [Completion::Accepted { token: RequestToken(1), .. }]));
//! ```

pub mod process;
pub mod request;
pub mod version;

pub use process::{
    AppendOutcome, Consensus, DiskWrite, Envelope, Input, MemberIdentity, Message, MessageBody,
    Output, RestoredState, Role, Settings, Status, Transfer, TransferId, WriteId,
};
pub use request::{Completion, GroupChange, Rejection, RequestToken};
pub use version::{EntryPayload, Group, LogEntry, LogPosition, Snapshot};
