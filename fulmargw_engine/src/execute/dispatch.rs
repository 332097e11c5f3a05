//! Hands executions to the workers.

use super::Trace;
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{self, Done, Failure, Job, Work, refusal},
    table::{group::Group, queue::Place},
};
use fulmargw_backend::connection::Connector;
use fulmargw_decision::queue::Entry;
use fulmargw_model::{
    outcome::{Reason, Refusal},
    position::Term,
    request::{Class, Request},
};
use std::sync::Arc;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

/// Removes a waiting execution when its submitter goes.
struct Waiting<'a, C: Connector, G: ControlPlane> {
    core: &'a Core<C, G>,
    place: Place,
}

impl<C: Connector, G: ControlPlane> Drop for Waiting<'_, C, G> {
    fn drop(&mut self) {
        self.core.queues.lock().remove(&self.place);
    }
}

impl<C: Connector, G: ControlPlane> Core<C, G> {
    /// Queues an execution and waits for its result. A refusal means that it was not started.
    pub async fn dispatch(
        &self,
        request: &Arc<Request<Body<C>>>,
        work: Work,
        trace: &mut Trace,
    ) -> Result<Done<Answer<C>>, Failure> {
        let (reply, mut result) = oneshot::channel();
        let job = Job {
            request: Arc::clone(request),
            work,
            queued: Instant::now(),
            reply,
        };
        let place = self.enqueue(job);
        self.work.notify_one();
        let waiting = Waiting { core: self, place };
        let finished = match timeout_at(request.deadline, &mut result).await {
            Ok(finished) => finished,
            Err(_) if self.queues.lock().remove(&waiting.place).is_some() => {
                return Err(Failure::Refused(self.late(request)));
            }
            // A worker has it and gives it up in time.
            Err(_) => result.await,
        };
        let finished =
            finished.unwrap_or_else(|_| Err(Failure::Refused(refusal(Reason::Connection))));
        trace.tries += 1;
        match &finished {
            Ok(done) => trace.place = Some(done.place.clone()),
            Err(Failure::Failed(_, place)) => trace.place = Some(place.clone()),
            Err(Failure::Refused(_)) => {}
        }
        finished
    }

    fn enqueue(&self, job: Job<Body<C>, Answer<C>>) -> Place {
        let mut queues = self.queues.lock();
        if job.work.pinned().is_some() {
            return queues.push_pinned(job);
        }
        let service = job.request.service.clone();
        let entry = Entry {
            account: job.request.account.clone(),
            urgency: job::urgency(job.request.class),
            cost: job.work.cost(),
            deadline: job.request.deadline,
            item: job,
        };
        let (ticket, shed) = queues.service(&service).queue.push(entry);
        if let Some(shed) = shed {
            // The submitter may have gone; then nobody needs the result.
            let _ = shed
                .reply
                .send(Err(Failure::Refused(refusal(Reason::QueueFull))));
        }
        Place::Fair(service, ticket)
    }

    /// Returns why a request waited until its deadline.
    fn late(&self, request: &Request<Body<C>>) -> Refusal {
        let servers = self.servers.lock();
        let group = servers.groups.get(&request.service);
        let primary = group.and_then(Group::primary);
        let usable = primary.is_some_and(|primary| primary.term > Term(0));
        if usable || matches!(request.class, Class::Aged(_)) {
            refusal(Reason::Deadline)
        } else {
            refusal(Reason::NoPrimary)
        }
    }
}
