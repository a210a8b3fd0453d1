//! Streams of events: passed on as they arrive, and resumed at another backend server.

use crate::{
    dispatch::{Answer, Gateway, Held, Job, closes, strip_hop_headers},
    events::EventBuffer,
    refusal::Refusal,
};
use bytes::Bytes;
use futures_lite::stream;
use http::{Body, Connection};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
};
use log::info;
use model::{ids::HostId, verdict::Verdict};
use net::with_timeout;
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

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
    /// Whether it waits for the present backend server until the deadline.
    patient: bool,
    pace: Pace,
}

/// How timely the events of a stream were.
#[derive(Debug, Default)]
struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
}

impl Pace {
    fn event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(last));
        }
    }

    /// The time from `began` to the first event, if one came.
    fn first_after(&self, began: Instant) -> Option<Duration> {
        self.first.map(|at| at.saturating_duration_since(began))
    }
}

/// For a log line: 0 if nothing came.
fn millis(time: Option<Duration>) -> u128 {
    time.map_or(0, |time| time.as_millis())
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
            return self.whole(&job, answer).await;
        }
        let (mut parts, source) = Source::begin(answer);
        strip_hop_headers(&mut parts.headers);
        let relay = Relay {
            gateway: self,
            job,
            source: Some(source),
            events: EventBuffer::default(),
            ended: false,
            patient: false,
            pace: Pace::default(),
        };
        let events = stream::unfold(relay, |relay| relay.next());
        let body = StreamBody::new(events).boxed_unsync();
        Ok(Response::from_parts(parts, body))
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
            let limit = if resumable && !self.patient { left.min(EVENT_WAIT) } else { left };
            match source.next(limit).await {
                Next::Bytes(bytes) => {
                    let now = self.gateway.shared.clock.now();
                    source.held.progress();
                    if let Some(events) = self.events.push(&bytes) {
                        self.pace.event(now);
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
                    self.source_lost(&cause);
                    self.source = None;
                    if !self.resume().await {
                        return Some(self.fail(&cause));
                    }
                }
                Next::TimedOut if limit < left => {
                    self.source_lost("no event");
                    let silent = self.source.take();
                    if !self.resume().await {
                        // Nobody else goes on with it: silence alone is no end.
                        self.source = silent;
                        self.patient = true;
                    }
                }
                Next::TimedOut => return Some(self.fail("deadline")),
            }
        }
    }

    /// Notes that the present backend server has failed the stream.
    fn source_lost(&mut self, cause: &str) {
        let Some(source) = &self.source else {
            return;
        };
        let job = &mut self.job;
        info!(
            "event=stream_broken id={} host={} after_event={:?} cause=\"{cause}\"",
            job.ask.id, source.host, job.after_event
        );
        job.avoid.push(source.host.clone());
        job.verdict = Verdict::MayHaveRun;
        job.attempts_left = job.attempts_left.saturating_sub(1);
    }

    /// Lets another backend server go on after the last event delivered; returns whether
    /// one does.
    async fn resume(&mut self) -> bool {
        let job = &mut self.job;
        if self.gateway.permit_repeat(job).is_err() {
            return false;
        }
        match self.gateway.first_answer(job).await {
            Ok(answer) if answer.response.status().is_success() => {
                self.gateway.counters.resumed.inc();
                info!("event=stream_resumed id={} host={}", job.ask.id, answer.host);
                self.source = Some(Source::begin(answer).1);
                // What came of an event that was not whole comes again.
                self.events.clear();
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
        info!(
            "event=stream_failed id={} tries={} after_event={:?} first_ms={} cause=\"{cause}\"",
            self.job.ask.id,
            self.job.tries,
            self.job.after_event,
            millis(self.pace.first_after(self.job.began))
        );
        (Err(io::Error::other(cause.to_owned())), self)
    }

    fn finish(&mut self) {
        self.ended = true;
        let took = self.gateway.shared.clock.now().saturating_duration_since(self.job.began);
        self.gateway.counters.answer_seconds.observe(took.as_secs_f64());
        let first = self.pace.first_after(self.job.began);
        if let Some(waited) = first {
            self.gateway.counters.first_seconds.observe(waited.as_secs_f64());
        }
        info!(
            "event=answered id={} status=200 tries={} took_ms={} first_ms={} pause_ms={}",
            self.job.ask.id,
            self.job.tries,
            took.as_millis(),
            millis(first),
            self.pace.longest_pause.as_millis()
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
