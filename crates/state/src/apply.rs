//! Application of committed log entries to the state.

use crate::{
    command::{Command, Rejection, Reply},
    types::{AcceptedManifest, DomainOut, State},
};
use model::ids::{Digest, DomainId, ManifestNumber};

pub(crate) type Outcome = Result<Reply, Rejection>;

impl State {
    /// Decodes the command of the log entry at `index` and applies it.
    pub fn apply_bytes(&mut self, index: u64, bytes: &[u8]) -> Reply {
        let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
        match decoded {
            Ok((command, _)) => self.apply(index, command),
            Err(_) => {
                self.applied = index;
                Reply::Rejected(Rejection::Unreadable)
            }
        }
    }

    /// Applies the command of the log entry at `index`.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the state is violated, because continuing could assign one
    /// host to two groups.
    pub fn apply(&mut self, index: u64, command: Command) -> Reply {
        assert!(index > self.applied, "log entry {index} has already been applied");
        self.applied = index;
        let outcome = self.apply_command(index, command);
        outcome.unwrap_or_else(Reply::Rejected)
    }

    fn apply_command(&mut self, index: u64, command: Command) -> Outcome {
        match command {
            Command::ApplyManifest { number, digest, body } => {
                self.apply_manifest(index, number, digest, body)
            }
            Command::DomainOut { domain, stop_at_s } => self.domain_out(index, domain, stop_at_s),
            Command::DomainBack { domain } => self.domain_back(&domain),
            Command::FormGroup { model, domain, fabric, load_size, placements } => {
                self.form_group(index, model, domain, fabric, load_size, placements)
            }
            Command::Regroup { group, fence, load_size, placements } => {
                self.regroup(index, group, fence, load_size, placements)
            }
            Command::DissolveGroup { group } => self.dissolve_group(group),
            Command::Unload { host, incarnation, checks_fence } => {
                self.unload(index, host, incarnation, checks_fence)
            }
            Command::SettleOrder { host, fence } => self.settle_order(&host, fence),
            Command::FreeHost { host, fence } => self.free_host(host, fence),
            Command::Claim { key, entry, token, request_digest, now_s } => {
                self.claim(key, entry, token, request_digest, now_s)
            }
            Command::CloseClaim { key, token, answer } => self.close_claim(&key, token, answer),
            Command::ReleaseClaim { key, token } => self.release_claim(key, token),
        }
    }

    fn apply_manifest(
        &mut self,
        index: u64,
        number: ManifestNumber,
        digest: Digest,
        body: Box<str>,
    ) -> Outcome {
        if let Some(current) = &self.manifest {
            let is_resend = current.number == number && current.digest == digest;
            if is_resend {
                return Ok(Reply::Done);
            }
            if number <= current.number {
                return Err(Rejection::StaleManifest {
                    number: current.number,
                    digest: current.digest.clone(),
                });
            }
        }
        self.manifest = Some(AcceptedManifest { number, digest, body, index });
        Ok(Reply::Done)
    }

    fn domain_out(&mut self, index: u64, domain: DomainId, stop_at_s: u64) -> Outcome {
        match self.domains_out.get_mut(&domain) {
            // A resent command does not postpone the stop time, and an earlier time always wins.
            Some(out) => out.stop_at_s = out.stop_at_s.min(stop_at_s),
            None => {
                self.domains_out.insert(domain, DomainOut { stop_at_s, index });
            }
        }
        Ok(Reply::Done)
    }

    fn domain_back(&mut self, domain: &DomainId) -> Outcome {
        self.domains_out.remove(domain);
        Ok(Reply::Done)
    }
}
