//! Load estimate: requests in flight at a server, and the expected time to the first token.
//!
//! Source: the paper routes by least load (BTB, docs/provenance.md); the estimate in time is our own.

use crate::event::RequestCost;
use crate::rules::ServiceRules;
use crate::scheduler::Scheduler;
use crate::scheduler::requests::Footprint;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::MonotonicInstant;

impl Scheduler {
    /// Requests believed in tracked at a server, over all nodes.
    pub(super) fn load(&self, server: &ServerState, now: MonotonicInstant) -> u32 {
        let known = server.own + server.peer_load.count;
        match server.reported {
            Some((reported, at)) if now.since(at) < self.scheduler_rules.report_lifetime => {
                known.max(reported)
            }
            _ => known,
        }
    }

    /// Expected time to the first piece, in ms.
    pub(super) fn expect(
        &self,
        rules: &ServiceRules,
        server: &ServerState,
        footprint: &Footprint,
        load: u32,
        tokens: u64,
    ) -> u64 {
        if footprint.prompt == 0 {
            return server.service_time.0 + footprint.queue + server.overdue;
        }
        let step = (self.scheduler_rules.step_micros
            + u64::from(load) * self.scheduler_rules.step_micros_per_request)
            / 1000;
        // What doesn't fit beside those that run waits until as much of them has ended.
        let over = (tokens + footprint.memory).saturating_sub(rules.memory_tokens);
        let room = if rules.memory_tokens == 0 || tokens == 0 {
            0
        } else {
            server.service_time.0 * over / tokens
        };
        let reading = self.prefill(server, footprint.ahead + footprint.uncached);
        self.scheduler_rules.base_first_token.0
            + reading
            + step
            + footprint.queue.max(room)
            + server.overdue
    }

    /// How long a server reads so many tokens, in ms.
    pub(super) fn prefill(&self, server: &ServerState, tokens: u64) -> u64 {
        tokens * server.block_micros / u64::from(self.scheduler_rules.block_tokens.max(1)) / 1000
    }

    pub(super) fn prompt_tokens(&self, hashes: &[PrefixHash], request_cost: &RequestCost) -> u64 {
        self.tokens_of(hashes, request_cost)
            .max(u64::from(request_cost.prompt_tokens))
    }

    /// Tokens of the leading parts.
    pub(super) fn tokens_of(&self, hashes: &[PrefixHash], request_cost: &RequestCost) -> u64 {
        if request_cost.hash_tokens.is_empty() {
            return hashes.len() as u64 * u64::from(self.scheduler_rules.block_tokens);
        }
        request_cost
            .hash_tokens
            .iter()
            .take(hashes.len())
            .map(|tokens| u64::from(*tokens))
            .sum()
    }
}
