//! Hands jobs to the workers and waits for their results.

use super::Trace;
use crate::{
    control::ControlPlane,
    core::{Answer, Body, Core},
    job::{self, Completion, Failure, Job, Operation, refusal},
    table::{group::Group, queue::Location},
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

/// Removes a job that still waits from its queue when the submitter's future is dropped.
struct Waiting<'a, C: Connector, P: ControlPlane> {
    core: &'a Core<C, P>,
    location: Location,
}

impl<C: Connector, P: ControlPlane> Drop for Waiting<'_, C, P> {
    fn drop(&mut self) {
        self.core.queues.lock().remove(&self.location);
    }
}

impl<C: Connector, P: ControlPlane> Core<C, P> {
    /// Queues an operation and waits for its result. A refusal means that it was not started.
    pub async fn dispatch(
        &self,
        request: &Arc<Request<Body<C>>>,
        operation: Operation,
        trace: &mut Trace,
    ) -> Result<Completion<Answer<C>>, Failure> {
        let (reply, mut result) = oneshot::channel();
        let job = Job {
            request: Arc::clone(request),
            operation,
            queued_at: Instant::now(),
            reply,
        };
        let location = self.enqueue(job);
        self.work_available.notify_one();
        let waiting = Waiting {
            core: self,
            location,
        };
        let finished = match timeout_at(request.deadline, &mut result).await {
            Ok(finished) => finished,
            Err(_) if self.queues.lock().remove(&waiting.location).is_some() => {
                return Err(Failure::Refused(self.timeout_refusal(request)));
            }
            // A worker runs the job and gives it up in time.
            Err(_) => result.await,
        };
        let finished =
            finished.unwrap_or_else(|_| Err(Failure::Refused(refusal(Reason::Connection))));
        trace.executions += 1;
        match &finished {
            Ok(completion) => trace.target = Some(completion.target.clone()),
            Err(Failure::Failed(_, target)) => trace.target = Some(target.clone()),
            Err(Failure::Refused(_)) => {}
        }
        finished
    }

    fn enqueue(&self, job: Job<Body<C>, Answer<C>>) -> Location {
        let mut queues = self.queues.lock();
        if job.operation.pinned_server().is_some() {
            return queues.push_pinned(job);
        }
        let service = job.request.service.clone();
        let entry = Entry {
            account: job.request.account.clone(),
            urgency: job::urgency(job.request.class),
            cost: job.operation.cost(),
            queued_at: Instant::now(),
            deadline: job.request.deadline,
            item: job,
        };
        let (ticket, shed) = queues.service(&service).queue.push(entry);
        if let Some(shed) = shed {
            // If the receiver is dropped, nobody waits for the result.
            let _ = shed
                .reply
                .send(Err(Failure::Refused(refusal(Reason::QueueFull))));
        }
        Location::Fair(service, ticket)
    }

    /// Returns the refusal of a request that waited in its queue until the deadline.
    fn timeout_refusal(&self, request: &Request<Body<C>>) -> Refusal {
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
