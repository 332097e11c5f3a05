//! Answers of a process to other hosts.

use crate::serve::{control::Agent, parts::Engine};
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

/// Answers from the control part, which knows the engine's use of the shares.
///
/// A joining host uses its share once every host with a share has confirmed the join. A
/// transaction keeps its connection for longer than the join takes, so the confirmation has
/// to wait until the engine is within the smaller share.
#[derive(Debug, Clone)]
pub struct Answer {
    agent: Agent,
    engine: Engine,
}

impl Answer {
    /// Makes the answers of a host.
    #[must_use]
    pub const fn new(agent: Agent, engine: Engine) -> Self {
        Self { agent, engine }
    }

    fn is_joining(&self, life: &Instance) -> bool {
        let fleet = self.agent.fleet();
        let member = fleet.as_ref().and_then(|fleet| fleet.member(&life.host));
        member.is_some_and(|member| {
            member.incarnation == life.incarnation && member.state == State::Joining
        })
    }

    /// A host without a share has to have given back every connection.
    fn is_within_share(&self) -> bool {
        let divisor = self.agent.share_divisor().unwrap_or(u32::MAX);
        self.engine.is_within_share(divisor)
    }
}

impl Handler for Answer {
    fn confirm(&self, question: &LeaseRequest) -> LeaseResponse {
        let confirmation = self.agent.confirm(question);
        if self.is_joining(&question.asker) && !self.is_within_share() {
            return LeaseResponse {
                granted: false,
                generation: Generation::default(),
                ..confirmation
            };
        }
        confirmation
    }

    fn consent(&self, removal: &RemovalRequest) -> bool {
        self.agent.consent(removal)
    }

    fn note(&self, note: &VersionNotice) -> bool {
        self.agent.note(note)
    }

    fn lend(&self, demand: &LoanRequest) -> LoanResponse {
        self.agent.lend(demand)
    }

    fn announced(&self, announcement: Announcement) {
        self.agent.announced(announcement);
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
