//! Event streams: relayed as they arrive, and resumed at another backend server if they break.

use crate::{
    dispatch::{
        BackendResponse, Gateway, ProxyRequest, ResponseSource, closes_connection,
        strip_hop_by_hop_headers,
    },
    events::EventBuffer,
    refusal::Refusal,
    relay::Answerer,
};
use admission::Suspicion;
use base::sync::lock;
use bytes::Bytes;
use fleet::RouteKind;
use futures_lite::stream;
use http::{Body, Connection, Framing, Incoming, Reservation, is_unproductive};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response,
    body::Frame,
    header::{self, HeaderValue},
};
use log::info;
use model::verdict::Verdict;
use net::with_timeout;
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest wait for the next event of a stream that another backend server could resume: the time
/// of several passes of a fully loaded engine.
const EVENT_TIMEOUT: Duration = Duration::from_millis(700);
/// The same for a stream that comes over another entry, which resumes it itself if it can.
const RELAYED_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// An event stream that is being relayed to a caller.
#[derive(Debug)]
struct StreamRelay {
    gateway: Arc<Gateway>,
    request: ProxyRequest,
    upstream: Option<Upstream>,
    events: EventBuffer,
    /// The part of the budget of responses that the buffer takes.
    held: Reservation,
    ended: bool,
    /// Whether it waits for the current backend server until the deadline, as no other could
    /// resume the stream.
    waits_until_deadline: bool,
    /// Whether the head that the caller has received announces events.
    is_event_stream: bool,
    /// Whether another backend server can go on after what was delivered.
    can_resume: bool,
    timing: EventTiming,
}

/// When the events of a stream arrived.
#[derive(Debug, Default)]
struct EventTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_gap: Duration,
}

impl EventTiming {
    fn record_event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }

    /// The time from `received_at` to the first event, if there was one.
    fn time_to_first(&self, received_at: Instant) -> Option<Duration> {
        self.first.map(|at| at.saturating_duration_since(received_at))
    }
}

/// Milliseconds for a log line, 0 for `None`.
fn millis(time: Option<Duration>) -> u128 {
    time.map_or(0, |time| time.as_millis())
}

/// The connection to the backend server that sends the stream.
#[derive(Debug)]
struct Upstream {
    body: Incoming,
    connection: Connection,
    address: SocketAddr,
    answerer: Answerer,
    reusable: bool,
    source: ResponseSource,
    framing: Framing,
    /// Whether the body consists of events, each of which ends with a blank line.
    is_event_stream: bool,
    /// Whether it has sent an event.
    has_sent_event: bool,
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
    content_type.is_some_and(|value| value.to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// The result of reading from a backend server.
enum ReadResult {
    Bytes(Bytes),
    End,
    /// The backend server closed the connection, or may have.
    Broken(Box<str>),
    /// The backend server keeps the connection open and sends what is no part of a response.
    Unreadable(Box<str>),
    TimedOut,
}

impl Gateway {
    /// Returns the response head and a body that relays the event stream.
    pub(crate) async fn stream(
        self: Arc<Self>,
        mut request: ProxyRequest,
    ) -> Result<Response<Body>, Refusal> {
        let backend_response = self.dispatch(&mut request).await?;
        if !backend_response.response.status().is_success() {
            return self.buffer_response(&request, backend_response).await;
        }
        let (mut parts, upstream) = Upstream::new(backend_response);
        parts.extensions.insert(upstream.answerer.clone());
        strip_hop_by_hop_headers(&mut parts.headers);
        let relay = StreamRelay {
            gateway: self,
            request,
            is_event_stream: upstream.is_event_stream,
            can_resume: true,
            held: Reservation::new(upstream.body.budget()),
            upstream: Some(upstream),
            events: EventBuffer::default(),
            ended: false,
            waits_until_deadline: false,
            timing: EventTiming::default(),
        };
        let events = stream::unfold(relay, |relay| relay.next());
        let body = StreamBody::new(events).boxed_unsync();
        Ok(Response::from_parts(parts, body))
    }
}

impl Upstream {
    fn new(backend_response: BackendResponse) -> (hyper::http::response::Parts, Upstream) {
        let BackendResponse { response, connection, address, answerer, source } = backend_response;
        let (parts, body) = response.into_parts();
        let reusable = !closes_connection(&parts.headers);
        let framing = Framing::of(&parts.headers, &body);
        let upstream = Upstream {
            body,
            connection,
            address,
            answerer,
            reusable,
            source,
            framing,
            is_event_stream: is_event_stream(&parts.headers),
            has_sent_event: false,
        };
        (parts, upstream)
    }

    /// Why a body that has ended can't be taken for complete, if so. A resumed stream may have no
    /// event left, but then its server must say so with a length or chunks.
    async fn cut_off(
        &self,
        events: &EventBuffer,
        gateway: &Gateway,
        kind: RouteKind,
    ) -> Option<&'static str> {
        let must_end_with_event = self.is_event_stream || self.framing == Framing::Connection;
        if events.is_partial() && must_end_with_event {
            Some("the response ended inside an event")
        } else if self.framing == Framing::Connection && !self.has_sent_event {
            Some("the connection ended before the first event")
        } else if self.framing == Framing::Connection
            && (self.source.is_relay()
                || !gateway.is_running(&self.answerer, self.address, kind).await)
        {
            Some("the connection ended with its server")
        } else {
            None
        }
    }

    fn record_progress(&self, gateway: &Gateway, now: Instant) {
        self.source.record_progress();
        if !self.source.is_relay() {
            lock(&gateway.state.links).record_answer(now);
        }
    }

    async fn next(&mut self, timeout: Duration) -> ReadResult {
        loop {
            match with_timeout(timeout, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return ReadResult::Bytes(bytes);
                    }
                }
                Ok(Some(Err(e))) => {
                    let cause = e.to_string().replace('"', "'").into();
                    return match is_unproductive(&e) {
                        true => ReadResult::Unreadable(cause),
                        false => ReadResult::Broken(cause),
                    };
                }
                Ok(None) => return ReadResult::End,
                Err(_) => return ReadResult::TimedOut,
            }
        }
    }
}

/// An item of the body stream, and the state for the next one.
type Item = (Result<Frame<Bytes>, io::Error>, StreamRelay);

impl StreamRelay {
    /// Returns the next complete events, resuming at another backend server if necessary.
    async fn next(mut self) -> Option<Item> {
        loop {
            if self.ended {
                return None;
            }
            let now = self.gateway.state.clock.now();
            let remaining = self.request.deadline.saturating_duration_since(now);
            if remaining.is_zero() {
                return Some(self.fail("deadline"));
            }
            let resumable = self.request.kind.may_retry();
            let Some(upstream) = &mut self.upstream else {
                return Some(self.fail("no backend server"));
            };
            let event_timeout = match upstream.source.is_relay() {
                true => RELAYED_EVENT_TIMEOUT,
                false => EVENT_TIMEOUT,
            };
            let timeout = if resumable && !self.waits_until_deadline {
                remaining.min(event_timeout)
            } else {
                remaining
            };
            let mut read = upstream.next(timeout).await;
            if matches!(read, ReadResult::End)
                && let Some(cause) =
                    upstream.cut_off(&self.events, &self.gateway, self.request.kind).await
            {
                read = ReadResult::Broken(cause.into());
            }
            match read {
                ReadResult::Bytes(bytes) => {
                    let now = self.gateway.state.clock.now();
                    upstream.record_progress(&self.gateway, now);
                    let pushed = self.events.push(&bytes).map_err(|e| e.to_string());
                    let held = self.held.resize(self.events.partial_len());
                    let events = match held.map_err(|e| e.to_string()).and(pushed) {
                        Ok(events) => events,
                        Err(cause) => {
                            if !self.replace_upstream(&cause).await {
                                return Some(self.fail(&cause));
                            }
                            continue;
                        }
                    };
                    if let Some(events) = events {
                        if !upstream.has_sent_event {
                            upstream.has_sent_event = true;
                            let parts = &self.request.info.shared_parts;
                            lock(&self.gateway.state.evidence).record_answered(parts, now);
                        }
                        self.timing.record_event(now);
                        self.request.after_event = events.last_id.or(self.request.after_event);
                        self.can_resume = events.ends_with_id.unwrap_or(self.can_resume);
                        return Some((Ok(Frame::data(events.bytes)), self));
                    }
                }
                ReadResult::End => {
                    self.finish();
                    let rest = self.events.rest();
                    if !rest.is_empty() {
                        return Some((Ok(Frame::data(rest)), self));
                    }
                }
                ReadResult::Broken(cause) => {
                    self.record_break().await;
                    if !self.replace_upstream(&cause).await {
                        return Some(self.fail(&cause));
                    }
                }
                ReadResult::Unreadable(cause) => {
                    if !self.replace_upstream(&cause).await {
                        return Some(self.fail(&cause));
                    }
                }
                ReadResult::TimedOut if timeout < remaining => {
                    self.check_silence(now).await;
                    self.record_failure("no event in time");
                    let upstream = self.upstream.take();
                    if !self.resume().await {
                        // No other backend server resumes the stream, and a pause alone does not
                        // mean that this one has failed.
                        self.upstream = upstream;
                        self.waits_until_deadline = true;
                    }
                }
                ReadResult::TimedOut => return Some(self.fail("deadline")),
            }
        }
    }

    /// Records that the current backend server closed the connection.
    async fn record_break(&self) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        if upstream.source.is_relay() {
            return;
        }
        let now = self.gateway.state.clock.now();
        let broken = self.request.broken(true, upstream.has_sent_event, now);
        let kind = self.request.kind;
        self.gateway.record_broken(&upstream.answerer, upstream.address, kind, broken).await;
    }

    /// Finds out whether the links are lost, or the relay is, after no event since `waits_since`.
    async fn check_silence(&self, waits_since: Instant) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        match &upstream.source {
            ResponseSource::Relay(relay) => relay.mark_silent(waits_since),
            ResponseSource::Server(_) => {
                let suspicion = Suspicion::Silence(waits_since);
                self.gateway.links.check(&upstream.answerer.host, suspicion).await;
            }
        }
    }

    /// Logs that the current backend server failed the stream, and excludes it from retries.
    fn record_failure(&mut self, cause: &str) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let request = &mut self.request;
        info!(
            "event=stream_broken id={} host={} framing={} after_event={:?} partial_bytes={} request={:x} parts={:x?} cause=\"{cause}\"",
            request.info.id,
            upstream.answerer.host,
            upstream.framing.as_str(),
            request.after_event,
            self.events.partial_len(),
            request.digest,
            request.info.shared_parts
        );
        request.avoid.push(upstream.answerer.host.clone());
        request.verdict = Verdict::MayHaveRun;
        request.attempts_left = request.attempts_left.saturating_sub(1);
    }

    /// Gives up the current backend server and resumes the stream at another one. Returns whether
    /// that succeeded.
    async fn replace_upstream(&mut self, cause: &str) -> bool {
        self.record_failure(cause);
        self.upstream = None;
        self.resume().await
    }

    /// Resumes the stream at another backend server after the last event delivered. Returns
    /// whether that succeeded.
    async fn resume(&mut self) -> bool {
        let request = &mut self.request;
        if !self.can_resume || self.gateway.authorize_retry(request).is_err() {
            return false;
        }
        match self.gateway.dispatch(request).await {
            Ok(backend_response) if backend_response.response.status().is_success() => {
                let upstream = Upstream::new(backend_response).1;
                if upstream.is_event_stream != self.is_event_stream {
                    self.upstream = Some(upstream);
                    self.record_failure("the response is of another media type");
                    return false;
                }
                self.gateway.metrics.streams_resumed.inc();
                info!(
                    "event=stream_resumed id={} host={}",
                    request.info.id, upstream.answerer.host
                );
                self.upstream = Some(upstream);
                // The new backend server sends an event that was received in part again in full.
                self.events.clear();
                true
            }
            _ => false,
        }
    }

    /// Aborts the response, so that the caller can tell that it is incomplete.
    fn fail(mut self, cause: &str) -> Item {
        self.ended = true;
        self.upstream = None;
        self.gateway.metrics.failed.inc();
        info!(
            "event=stream_failed id={} tries={} after_event={:?} first_ms={} cause=\"{cause}\"",
            self.request.info.id,
            self.request.attempts,
            self.request.after_event,
            millis(self.timing.time_to_first(self.request.received_at))
        );
        (Err(io::Error::other(cause.to_owned())), self)
    }

    /// Records that the stream is complete, and keeps the connection for reuse.
    fn finish(&mut self) {
        self.ended = true;
        let now = self.gateway.state.clock.now();
        lock(&self.gateway.state.evidence).record_request_answered(self.request.digest, now);
        let took = now.saturating_duration_since(self.request.received_at);
        self.gateway.metrics.answer_seconds.observe(took.as_secs_f64());
        let first = self.timing.time_to_first(self.request.received_at);
        if let Some(waited) = first {
            self.gateway.metrics.first_event_seconds.observe(waited.as_secs_f64());
        }
        let upstream = self.upstream.take();
        info!(
            "event=answered id={} status=200 tries={} took_ms={} first_ms={} pause_ms={} framing={} after_event={:?}",
            self.request.info.id,
            self.request.attempts,
            took.as_millis(),
            millis(first),
            self.timing.longest_gap.as_millis(),
            upstream.as_ref().map_or("-", |upstream| upstream.framing.as_str()),
            self.request.after_event
        );
        if let Some(upstream) = upstream.filter(|upstream| upstream.reusable) {
            self.gateway.client.return_idle(upstream.address, upstream.connection);
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.gateway.metrics.callers_left.inc();
            info!("event=caller_left id={}", self.request.info.id);
        }
    }
}
