//! Streams of events: passed on as they arrive, and resumed at another backend server.

use crate::{
    dispatch::{Answer, Gateway, Held, Job, closes, strip_hop_headers},
    events::EventBuffer,
    refusal::Refusal,
};
use bytes::Bytes;
use futures_lite::stream;
use http::{Body, Connection, full};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
};
use log::info;
use model::{ids::HostId, verdict::Verdict};
use net::with_timeout;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Longest wait for the next event of a stream that another backend server could go on
/// with: several passes of a full engine.
const EVENT_WAIT: Duration = Duration::from_millis(700);

/// A stream that is passed on.
#[derive(Debug)]
struct Relay {
    gateway: Arc<Gateway>,
    job: Job,
    source: Option<Source>,
    events: EventBuffer,
    ended: bool,
}

/// Where the events come from now.
#[derive(Debug)]
struct Source {
    body: Incoming,
    connection: Connection,
    address: SocketAddr,
    host: HostId,
    reusable: bool,
    held: Held,
}

/// What came of waiting for the next bytes.
enum Next {
    Bytes(Bytes),
    End,
    Broken(Box<str>),
    TimedOut,
}

impl Gateway {
    pub(crate) async fn stream(self: Arc<Self>, mut job: Job) -> Result<Response<Body>, Refusal> {
        let answer = self.first_answer(&mut job).await?;
        if !answer.response.status().is_success() {
            return self.whole_failure(&job, answer).await;
        }
        let (mut parts, source) = Source::begin(answer);
        strip_hop_headers(&mut parts.headers);
        let relay = Relay {
            gateway: self,
            job,
            source: Some(source),
            events: EventBuffer::default(),
            ended: false,
        };
        let events = stream::unfold(relay, |relay| relay.next());
        let body = StreamBody::new(events).boxed_unsync();
        Ok(Response::from_parts(parts, body))
    }

    /// Passes a failure of a backend server on, whole.
    async fn whole_failure(&self, job: &Job, answer: Answer) -> Result<Response<Body>, Refusal> {
        let left = job.deadline.saturating_duration_since(self.shared.clock.now());
        let (mut parts, body) = answer.response.into_parts();
        let bytes = with_timeout(left, http::collect(body, base::limits::ANSWER_MAX)).await;
        let Ok(Ok(bytes)) = bytes else {
            return Err(Refusal::Lost);
        };
        if !closes(&parts.headers) {
            self.client.keep(answer.address, answer.connection);
        }
        strip_hop_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, full(bytes)))
    }
}

impl Source {
    fn begin(answer: Answer) -> (hyper::http::response::Parts, Source) {
        let Answer { response, connection, address, host, held } = answer;
        let (parts, body) = response.into_parts();
        let reusable = !closes(&parts.headers);
        (parts, Source { body, connection, address, host, reusable, held })
    }

    async fn next(&mut self, limit: Duration) -> Next {
        loop {
            match with_timeout(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Next::Bytes(bytes);
                    }
                }
                Ok(Some(Err(e))) => return Next::Broken(e.to_string().replace('"', "'").into()),
                Ok(None) => return Next::End,
                Err(_) => return Next::TimedOut,
            }
        }
    }
}

type Item = (Result<Frame<Bytes>, io::Error>, Relay);

impl Relay {
    /// The next whole events, from whichever backend server has them.
    async fn next(mut self) -> Option<Item> {
        loop {
            if self.ended {
                return None;
            }
            let now = self.gateway.shared.clock.now();
            let left = self.job.deadline.saturating_duration_since(now);
            if left.is_zero() {
                return Some(self.fail("deadline"));
            }
            let resumable = self.job.kind.may_repeat();
            let Some(source) = &mut self.source else {
                return Some(self.fail("no source"));
            };
            let limit = if resumable { left.min(EVENT_WAIT) } else { left };
            match source.next(limit).await {
                Next::Bytes(bytes) => {
                    source.held.progress();
                    if let Some(events) = self.events.push(&bytes) {
                        self.job.after_event = events.last_id.or(self.job.after_event);
                        return Some((Ok(Frame::data(events.bytes)), self));
                    }
                }
                Next::End => {
                    self.finish();
                    let rest = self.events.rest();
                    if !rest.is_empty() {
                        return Some((Ok(Frame::data(rest)), self));
                    }
                }
                Next::Broken(cause) => {
                    if !self.resume(&cause).await {
                        return Some(self.fail(&cause));
                    }
                }
                Next::TimedOut if limit < left => {
                    if !self.resume("no event").await {
                        return Some(self.fail("no event"));
                    }
                }
                Next::TimedOut => return Some(self.fail("deadline")),
            }
        }
    }

    /// Lets another backend server go on after the last event delivered; returns whether
    /// one does.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(source) = self.source.take() else {
            return false;
        };
        let job = &mut self.job;
        info!(
            "event=stream_broken id={} host={} after_event={:?} cause=\"{cause}\"",
            job.ask.id, source.host, job.after_event
        );
        job.avoid.push(source.host.clone());
        drop(source);
        self.events.clear();
        job.verdict = Verdict::MayHaveRun;
        job.attempts_left = job.attempts_left.saturating_sub(1);
        if self.gateway.permit_repeat(job).is_err() {
            return false;
        }
        match self.gateway.first_answer(job).await {
            Ok(answer) if answer.response.status().is_success() => {
                self.gateway.counters.resumed.inc();
                info!("event=stream_resumed id={} host={}", job.ask.id, answer.host);
                self.source = Some(Source::begin(answer).1);
                true
            }
            _ => false,
        }
    }

    /// Ends the answer so that the caller sees that it is not whole.
    fn fail(mut self, cause: &str) -> Item {
        self.ended = true;
        self.source = None;
        self.gateway.counters.failed.inc();
        info!("event=stream_failed id={} cause=\"{cause}\"", self.job.ask.id);
        (Err(io::Error::other(cause.to_owned())), self)
    }

    fn finish(&mut self) {
        self.ended = true;
        let took = self.gateway.shared.clock.now().saturating_duration_since(self.job.began);
        info!(
            "event=answered id={} status=200 tries={} took_ms={}",
            self.job.ask.id,
            self.job.tries,
            took.as_millis()
        );
        if let Some(source) = self.source.take()
            && source.reusable
        {
            self.gateway.client.keep(source.address, source.connection);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.gateway.counters.left.inc();
            info!("event=caller_left id={}", self.job.ask.id);
        }
    }
}
