//! The trace of one request at its entry host.

use std::{fmt::Write, sync::Arc};

use coordinator::Millis;
use http::Response;
use http_body_util::Full;
use refusal::{Ran, Reason, Refusal};
use smallvec::SmallVec;

use super::{LineKind, id_of, key_of};
use crate::{
    entry::RoutedRequest,
    gateway::{AttemptOutcome, QueueId},
    node::Node,
};

/// Maximum number of steps that a log line shows; a request that waits for an owner may take many.
const MAX_STEPS: usize = 8;

/// One attempt to have the request answered.
#[derive(Clone, Debug)]
pub struct Step {
    /// The queue; `None` if no target is known.
    pub queue: Option<QueueId>,
    /// The gateway of the queue.
    pub host: Arc<str>,
    /// Why it was not answered; `None` if it was.
    pub reason: Option<Reason>,
    /// When it began and ended.
    pub times: (Millis, Millis),
}

/// The trace of one request. Dropping it before its end means that the caller left.
pub struct RequestTrace<'a> {
    node: &'a Node,
    request: &'a RoutedRequest,
    steps: SmallVec<[Step; 2]>,
    omitted: usize,
    ended: bool,
}

impl<'a> RequestTrace<'a> {
    /// Starts the trace of a request.
    pub fn new(node: &'a Node, request: &'a RoutedRequest) -> Self {
        Self {
            node,
            request,
            steps: SmallVec::new(),
            omitted: 0,
            ended: false,
        }
    }

    /// Adds an attempt that began at `began`.
    pub fn step(
        &mut self,
        queue: Option<QueueId>,
        host: &Arc<str>,
        began: Millis,
        outcome: &AttemptOutcome,
    ) {
        if self.steps.len() >= MAX_STEPS {
            self.omitted += 1;
            return;
        }
        self.steps.push(Step {
            queue,
            host: Arc::clone(host),
            reason: match outcome {
                AttemptOutcome::Answered(_) => None,
                AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::Unknown(reason) => {
                    Some(*reason)
                }
            },
            times: (began, self.node.clock.now()),
        });
    }

    /// Ends the trace with the final answer.
    pub fn end(mut self, result: &Result<Response<Full<bytes::Bytes>>, Refusal>) {
        self.ended = true;
        let (kind, status, reason) = match result {
            Ok(answer) if !answer.status().is_success() => (LineKind::Failed, answer.status(), ""),
            Ok(answer) if self.node.clock.now() > self.request.gateway_request.objective => {
                (LineKind::Late, answer.status(), "")
            }
            Ok(answer) => (LineKind::Served, answer.status(), ""),
            Err(refusal) => {
                let kind = match refusal.ran {
                    Ran::NotRun => LineKind::Refused,
                    Ran::Unknown => LineKind::Unknown,
                };
                self.node.metrics.refusal(refusal.reason);
                let status = (self.node.profile.status)(refusal);
                (kind, status, refusal.reason.label())
            }
        };
        self.log(kind, status.as_u16(), reason);
    }

    fn log(&self, kind: LineKind, status: u16, reason: &str) {
        let (node, request) = (self.node, self.request);
        let gateway_request = &request.gateway_request;
        let now = node.clock.now();
        let took_ms = now.saturating_sub(request.arrived);
        node.metrics.request(gateway_request, kind, took_ms);
        let Some(left_out) = node.may_log(kind) else {
            return;
        };
        let level = match kind {
            LineKind::Served | LineKind::Late | LineKind::Abandoned => log::Level::Info,
            _ => log::Level::Warn,
        };
        let text = match kind {
            LineKind::Served => "a request was answered",
            LineKind::Late => "a request was answered late",
            LineKind::Failed => "a target answered with a failure",
            LineKind::Refused => "a request was refused",
            LineKind::Abandoned => "a caller left before the answer",
            _ => "it is not known whether a request ran",
        };
        log::log!(
            target: "request",
            level,
            request = id_of(node, gateway_request),
            outcome = kind.label(),
            status,
            reason,
            route = &*gateway_request.route,
            service = &*gateway_request.service,
            key = key_of(gateway_request),
            version = request.version,
            knowledge_ms = node.age_ms(),
            objective_ms = gateway_request.objective.saturating_sub(request.arrived),
            limit_ms = gateway_request.end.saturating_sub(request.arrived),
            took_ms,
            steps = self.steps_text(),
            left_out;
            "{text}"
        );
    }

    /// Formats the steps, with times in milliseconds since the request's arrival.
    fn steps_text(&self) -> String {
        let mut text = String::new();
        let since = |it: Millis| it.saturating_sub(self.request.arrived);
        for step in &self.steps {
            let queue = step.queue.as_ref().map(ToString::to_string);
            let queue = queue.unwrap_or_default();
            let reason = step.reason.map_or("answered", Reason::label);
            let (from, to) = (since(step.times.0), since(step.times.1));
            let host = &step.host;
            write!(text, "{from}-{to} {queue} via {host}: {reason}; ")
                .expect("writing to a string does not fail");
        }
        if self.omitted > 0 {
            write!(text, "{} more", self.omitted).expect("writing to a string does not fail");
        }
        text
    }
}

impl Drop for RequestTrace<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.log(LineKind::Abandoned, 0, "");
        }
    }
}
