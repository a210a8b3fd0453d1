//! Answers that are passed on only when they are whole.

use crate::{
    dispatch::{Answer, Gateway, Job, closes, strip_hop_headers},
    refusal::Refusal,
};
use base::limits::ANSWER_MAX;
use http::{Body, collect, full};
use hyper::Response;
use log::info;
use model::verdict::Verdict;
use net::with_timeout;

impl Gateway {
    pub(crate) async fn unary(&self, mut job: Job) -> Result<Response<Body>, Refusal> {
        loop {
            let answer = self.first_answer(&mut job).await?;
            let host = answer.host.clone();
            match self.whole(&job, answer).await {
                Ok(response) => {
                    let again = response.status().is_server_error()
                        && job.kind.may_repeat()
                        && job.attempts_left > 1;
                    if !again {
                        return Ok(response);
                    }
                    job.attempts_left -= 1;
                    job.avoid.push(host);
                    if self.permit_repeat(&job).is_err() {
                        return Ok(response);
                    }
                    return match self.second_answer(&mut job).await {
                        Some(better) => Ok(better),
                        None => Ok(response),
                    };
                }
                Err(Refusal::ResponseLost) => {
                    info!("event=answer_cut id={} host={host}", job.ask.id);
                    job.verdict = Verdict::MayHaveRun;
                    job.attempts_left -= 1;
                    job.avoid.push(host);
                    self.permit_repeat(&job)?;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    /// Tries once more after a failure of the backend server.
    async fn second_answer(&self, job: &mut Job) -> Option<Response<Body>> {
        let answer = self.first_answer(job).await.ok()?;
        self.whole(job, answer).await.ok()
    }

    /// Passes an answer on once it is whole.
    pub(crate) async fn whole(&self, job: &Job, answer: Answer) -> Result<Response<Body>, Refusal> {
        let Answer { response, connection, address, held, .. } = answer;
        let left = job.deadline.saturating_duration_since(self.shared.clock.now());
        let (mut parts, body) = response.into_parts();
        let bytes = match with_timeout(left, collect(body, ANSWER_MAX)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Err(Refusal::ResponseLost),
            Err(_) => return Err(Refusal::TimedOut { verdict: Verdict::MayHaveRun }),
        };
        held.progress();
        if !closes(&parts.headers) {
            self.client.keep(address, connection);
        }
        strip_hop_headers(&mut parts.headers);
        let took = self.shared.clock.now().saturating_duration_since(job.began);
        self.counters.answer_seconds.observe(took.as_secs_f64());
        info!(
            "event=answered id={} status={} tries={} took_ms={}",
            job.ask.id,
            parts.status.as_u16(),
            job.tries,
            took.as_millis()
        );
        Ok(Response::from_parts(parts, full(bytes)))
    }
}
