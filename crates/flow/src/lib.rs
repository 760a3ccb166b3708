//! Decisions about flows of a datagram protocol without connection ids.
//!
//! A caller returns nothing that the system writes into a datagram, so a
//! balancer cannot read the upstream of a flow from a datagram, and its own
//! records are lost when its process ends. The authority on a flow is therefore
//! the agent beside the upstream, which sees both directions:
//!
//! - [`FlowTable`] holds the flows of an agent's upstream. A datagram of a flow
//!   that is not in the table is never delivered to the upstream, unless a
//!   balancer asks for it while the agent recovers after a restart.
//! - [`Steering`] holds a balancer's hints about flows. A wrong hint costs a
//!   retransmission, never a delivery to another upstream.
//! - [`AgentPool`] chooses the agent of a new flow by the expected time to the answer.
//! - [`ServiceTimeTracker`] estimates the service time of an agent's upstream, and
//!   [`UpstreamHealth`] leaves out an upstream that fails.
//! - [`ColdLimit`] holds back the new flows that a cold upstream does not bear.
//! - [`OpeningQueue`] holds the new flows that wait for a slot while all upstreams
//!   are full, and decides which of them go first and which are refused.
//! - [`RequestQueue`] holds the requests on open flows that wait for the same slots.
//! - [`LinkAdmission`] decides which new flows may use a balancer's link now, and which
//!   wait for it or are refused.
//!
//! The crate has no sockets, clock, randomness or encoding: the user passes the
//! current time and a [`Segment`] that a codec has decoded.
//!
//! ```
//! use flow::{CallerAction, FlowTable, FlowTableSettings, Origin, Segment, UpstreamStatus};
//! use std::time::Instant;
//! use types::Slots;
//!
//! let now = Instant::now();
//! let mut flow_table = FlowTable::new(FlowTableSettings::default(), now);
//! flow_table.record_absence(now);
//! flow_table.set_upstream(Some(UpstreamStatus::ready(7, Slots(2))));
//! let opening = Segment {
//!     source: "100.64.0.7:40001".parse().unwrap(),
//!     destination: "198.18.0.1:443".parse().unwrap(),
//!     opens: true,
//!     ..Segment::default()
//! };
//! assert_eq!(flow_table.caller_datagram(&opening, Origin::Placed, now), CallerAction::Deliver);
//!
//! // A datagram of a flow that is not in the table is not delivered: the upstream started
//! // after its agent, so it holds no other flow.
//! let other = Segment {
//!     source: "100.64.0.8:40001".parse().unwrap(),
//!     opens: false,
//!     ..opening
//! };
//! assert_eq!(flow_table.caller_datagram(&other, Origin::Placed, now), CallerAction::NotHeld);
//! ```

pub mod connection;
pub mod process;
mod request;

pub use connection::{FlowRecord, FlowTuple, RecordedStage, Segment};
pub use process::{
    AdmittedShare, AgentPool, AgentStatus, BatchTarget, CallerAction, CallerShare, CheckpointPart,
    CheckpointedFlow, Claim, ColdBound, ColdLimit, DropReason, DueBatch, DuePart, FlowCheckpoint,
    FlowCheckpointSettings, FlowListId, FlowListPart, FlowListRecovery, FlowListRecoverySettings,
    FlowListTransfer, FlowListTransferSettings, FlowQuery, FlowTable, FlowTableSettings,
    KeeperCandidates, KeeperNode, KeeperRole, KeptFlowLists, KeptFlowListsSettings, LinkAdmission,
    Load, MAX_BATCH, NextWaiting, OpeningQueue, OpeningQueueSettings, Origin, Placement,
    QueryBatches, RateLimiter, RecoveredFlows, ReleasedDatagram, RequestQueue, ResetReason,
    SearchResults, ServicePace, ServiceTime, ServiceTimeEstimate, ServiceTimeTracker, Steering,
    SteeringDecision, SteeringSettings, TrialArbiter, TrialArbiterSettings, TrialRequest,
    UpstreamAction, UpstreamHealth, UpstreamStatus,
};
