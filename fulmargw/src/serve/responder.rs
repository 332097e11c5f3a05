//! Handler of the calls that peers make to this process.

use crate::serve::{components::Engine, control::Agent};
use fulmargw_model::{
    configuration::{Configuration, Version},
    fleet::{Fleet, Generation, Instance, State},
};
use fulmargw_peer::{
    message::{
        Announcement, LeaseRequest, LeaseResponse, LoanRequest, LoanResponse, RemovalRequest,
        VersionNotice,
    },
    service::Handler,
};
use std::sync::Arc;

/// Handles calls with the control plane, but confirms a joining host only when the engine is within
/// its own smaller share.
///
/// A joining host uses its share once every host that has a share has confirmed it. Transactions
/// may keep connections above the smaller share for longer than a join takes, so a confirmation
/// before that would let both hosts together exceed the connection limit of a backend server.
#[derive(Debug, Clone)]
pub struct Responder {
    agent: Agent,
    engine: Engine,
}

impl Responder {
    /// Makes the handler from the control plane and the engine of a host.
    #[must_use]
    pub const fn new(agent: Agent, engine: Engine) -> Self {
        Self { agent, engine }
    }

    fn is_joining(&self, instance: &Instance) -> bool {
        let fleet = self.agent.fleet();
        let member = fleet
            .as_ref()
            .and_then(|fleet| fleet.member(&instance.host));
        member.is_some_and(|member| {
            member.incarnation == instance.incarnation && member.state == State::Joining
        })
    }

    /// Reports whether the engine uses no more than the share of this host. A host without a share
    /// must have closed every connection.
    fn is_within_share(&self) -> bool {
        let divisor = self.agent.share_divisor().unwrap_or(u32::MAX);
        self.engine.is_within_share(divisor)
    }
}

impl Handler for Responder {
    fn confirm(&self, request: &LeaseRequest) -> LeaseResponse {
        let response = self.agent.confirm(request);
        if self.is_joining(&request.requester) && !self.is_within_share() {
            return LeaseResponse {
                granted: false,
                generation: Generation::default(),
                ..response
            };
        }
        response
    }

    fn consent(&self, request: &RemovalRequest) -> bool {
        self.agent.consent(request)
    }

    fn record_notice(&self, notice: &VersionNotice) -> bool {
        self.agent.record_notice(notice)
    }

    fn lend(&self, request: &LoanRequest) -> LoanResponse {
        self.agent.lend(request)
    }

    fn record_announcement(&self, announcement: Announcement) {
        self.agent.record_announcement(announcement);
    }

    fn push(&self, configuration: Configuration) -> Version {
        self.agent.push(configuration)
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        Handler::configuration(&self.agent)
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.agent.fleet()
    }
}
