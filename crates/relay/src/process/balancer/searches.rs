//! Queries of a balancer's searches.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use flow::{BatchTarget, Claim, FlowQuery, FlowTuple};

use super::{Balancer, Traffic};
use crate::{Callers, Codec, Message, QueriedFlow, QueriedFlows, ServiceTag};

/// A query for the holder of a flow.
#[derive(Debug)]
pub(super) struct SearchQuery {
    flow: QueriedFlow,
    /// The header of a datagram of the flow, for a query for it alone.
    header: Bytes,
}

impl<C: Codec> Balancer<C> {
    pub(super) async fn send_search_queries(&mut self, queries: Vec<FlowQuery>) {
        for _ in &queries {
            self.metrics
                .flow_events
                .with_label_values(&["searched_wider"])
                .inc();
        }
        self.send_claim_queries(queries).await;
    }

    /// Sends queries for flows to agents: one for many flows if there are several at an
    /// agent that understands it.
    pub(super) async fn send_claim_queries(&mut self, queries: Vec<FlowQuery>) {
        let now = Instant::now();
        let mut batches: BTreeMap<BatchTarget, Vec<SearchQuery>> = BTreeMap::new();
        for FlowQuery { payload, agents } in queries {
            let Some(seg) = self.codec.parse(&payload) else {
                continue;
            };
            let header = Bytes::copy_from_slice(self.codec.header(&payload));
            for (agent, service) in agents {
                let header = header.clone();
                if !self.steering.is_batching(agent) {
                    let tag = ServiceTag::of(&service);
                    self.send_query(agent, &Message::ClaimQuery { tag, header })
                        .await;
                    continue;
                }
                let target = BatchTarget {
                    agent,
                    service,
                    address: seg.destination,
                };
                let flow = QueriedFlow::of(&seg);
                let batch = batches.entry(target).or_default();
                batch.push(SearchQuery { flow, header });
            }
        }
        for (target, queries) in batches {
            for (target, queries) in self.query_batches.push(&target, queries, now) {
                self.send_batch(target, queries).await;
            }
        }
    }

    pub(super) async fn send_batch(&mut self, target: BatchTarget, queries: Vec<SearchQuery>) {
        let tag = ServiceTag::of(&target.service);
        let message = match &queries[..] {
            [query] => Message::ClaimQuery {
                tag,
                header: query.header.clone(),
            },
            _ => Message::ClaimQueries {
                tag,
                service: target.address,
                flows: QueriedFlows(queries.iter().map(|query| query.flow).collect()),
            },
        };
        self.send_query(target.agent, &message).await;
    }

    /// Handles an agent's claims for many flows: those that it holds, may hold, and does
    /// not hold.
    pub(super) async fn handle_claims(
        &mut self,
        from: SocketAddrV4,
        service: SocketAddrV4,
        claims: [Callers; 3],
        now: Instant,
    ) {
        let [holds, perhaps, no] = claims.each_ref().map(|callers| callers.0.len());
        log::info!(
            event = "claims", agent:% = from, holds = holds, perhaps = perhaps, no = no;
            "agent replied which flows it holds"
        );
        for (claim, callers) in [Claim::Holds, Claim::Perhaps, Claim::No]
            .into_iter()
            .zip(claims)
        {
            for caller in callers.0 {
                let key = FlowTuple { caller, service };
                let released = self.steering.handle_claim(key, from, claim, now);
                self.send_released(released).await;
            }
        }
    }

    async fn send_query(&mut self, agent: SocketAddrV4, query: &Message) {
        self.send_message(agent, Traffic::Control, query).await;
    }
}
