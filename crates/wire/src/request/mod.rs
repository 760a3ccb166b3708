//! Messages that concern one request or one operator change.

mod keys;
mod operator;
mod reserve;

pub use keys::{BeginRequest, EndRequest};
pub use operator::{
    ChangeReply, ClassReport, EvacuationReport, GroupChangeRequest, GroupReply, GroupReport, Hello,
    HelloReply, KeysReport, NodeReport, Query, QueryReply, ServiceReport, StatusReport,
    UpstreamReport,
};
pub use reserve::{ClaimHeader, OfferRequest, ReserveReply, ReserveRequest};
pub use types::{GroupRefusal, GroupRequest};
