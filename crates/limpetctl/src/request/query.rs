//! Typed queries of the control group.

use std::collections::BTreeMap;

use config::{DrainMark, EvacuationMark};
use types::{DataCentre, HostName, Revision, Service, ServiceName};
use wire::request::{KeysReport, NodeReport, Query, QueryReply, StatusReport};

use super::Context;
use crate::error::{Error, Result};

impl Context<'_> {
    pub(super) async fn service(&self, name: &ServiceName) -> Result<Option<Service>> {
        match self.query(&Query::Service(name.clone())).await? {
            QueryReply::Service(service) => Ok(service),
            _ => Err(Error::UnexpectedReply),
        }
    }

    pub(super) async fn drain_mark(&self, host: &HostName) -> Result<Option<DrainMark>> {
        match self.query(&Query::Drain(host.clone())).await? {
            QueryReply::Drain(mark) => Ok(mark),
            _ => Err(Error::UnexpectedReply),
        }
    }

    pub(super) async fn evacuations(&self) -> Result<BTreeMap<DataCentre, EvacuationMark>> {
        match self.query(&Query::Evacuations).await? {
            QueryReply::Evacuations(marks) => Ok(marks),
            _ => Err(Error::UnexpectedReply),
        }
    }

    pub(super) async fn keys(&self) -> Result<Option<KeysReport>> {
        match self.query(&Query::Keys).await? {
            QueryReply::Keys(keys) => Ok(keys),
            _ => Err(Error::UnexpectedReply),
        }
    }

    pub(super) async fn status(&self) -> Result<StatusReport> {
        match self.query(&Query::Status).await? {
            QueryReply::Status(status) => Ok(*status),
            _ => Err(Error::UnexpectedReply),
        }
    }

    pub(super) async fn lagging(&self, revision: Revision) -> Result<Vec<NodeReport>> {
        match self.query(&Query::Lagging(revision)).await? {
            QueryReply::Lagging(nodes) => Ok(nodes),
            _ => Err(Error::UnexpectedReply),
        }
    }
}
