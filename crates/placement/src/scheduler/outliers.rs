//! Outlier detection: servers whose first tokens come far later than those of their pool are ejected for a while.
//!
//! Source: own, after the outlier ejection of common proxies; not part of the paper (BTB, docs/provenance.md).

use crate::event::Decision;
use crate::scheduler::Scheduler;
use crate::scheduler::requests::InFlightRequest;
use crate::server_state::ServerState;
use std::collections::BTreeMap;
use types::{Milliseconds, MonotonicInstant, RequestId, ServerName};

/// The median lag, in ms, of the healthy servers of a server's pool but itself; `None` where less than half of
/// the pool is healthy.
fn median_lag(servers: &BTreeMap<ServerName, ServerState>, name: &ServerName) -> Option<u64> {
    let own = servers.get(name)?;
    let is_in_pool = |(other, server): &(&ServerName, &ServerState)| {
        *other != name
            && server.is_listed
            && server.pool == own.pool
            && server.consecutive_failures == 0
    };
    let mut lags: Vec<u64> = servers
        .iter()
        .filter(is_in_pool)
        .map(|(_, server)| server.lag)
        .collect();
    let all = servers
        .values()
        .filter(|server| server.is_listed && server.pool == own.pool)
        .count();
    lags.sort_unstable();
    (lags.len() * 2 >= all).then(|| lags[lags.len() / 2])
}

impl Scheduler {
    /// Records a first token that came, or is still missing, `lag` ms later than expected; ejects an outlier.
    pub(super) fn record_lag(&mut self, name: &ServerName, lag: u64, now: MonotonicInstant) {
        let usual = median_lag(&self.servers, name).unwrap_or(u64::MAX / 8);
        let may_eject = self.may_eject(name, now);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.record_lag(lag, usual) && may_eject {
            server.consecutive_late = 0;
            if let Some(span) = server.record_failure(now, true) {
                self.decisions.push(Decision::Suspected {
                    server: name.clone(),
                    span,
                });
            }
        }
    }

    /// Whether a server may be ejected without certainty: at most half of a pool ever is.
    pub(super) fn may_eject(&self, name: &ServerName, now: MonotonicInstant) -> bool {
        let Some(own) = self.servers.get(name) else {
            return false;
        };
        let is_in_pool = |server: &&ServerState| {
            server.is_listed && !server.is_draining && server.pool == own.pool
        };
        let (all, lost) = self
            .servers
            .values()
            .filter(is_in_pool)
            .fold((0, 0), |(all, lost), server| {
                (all + 1, lost + usize::from(server.is_ejected(now)))
            });
        (lost + 1) * 2 <= all
    }

    /// Records the lag of first tokens that are far overdue: they show an outlier sooner than those that come late.
    pub(super) fn record_overdue(&mut self, now: MonotonicInstant) {
        let is_overdue = |tracked: &InFlightRequest| {
            if tracked.first_token_at.is_some() || tracked.is_lag_recorded {
                return false;
            }
            let usual = median_lag(&self.servers, &tracked.server).unwrap_or(u64::MAX / 8);
            let slack =
                Milliseconds(usual.saturating_mul(4) + self.scheduler_rules.overdue_slack.0);
            now.since(tracked.placed_at) > Milliseconds(tracked.expected.0 + slack.0)
        };
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| is_overdue(tracked))
            .map(|(request, _)| request.clone())
            .collect();
        for request in overdue {
            let Some(tracked) = self.requests.get_mut(&request) else {
                continue;
            };
            tracked.is_lag_recorded = true;
            let (name, lag) = (
                tracked.server.clone(),
                now.since(tracked.placed_at)
                    .0
                    .saturating_sub(tracked.expected.0),
            );
            self.record_lag(&name, lag, now);
        }
    }

    /// Adds the longest overdue time at a server to what is expected of it.
    pub(super) fn update_overdue(&mut self, now: MonotonicInstant) {
        for server in self.servers.values_mut() {
            server.overdue = 0;
        }
        for tracked in self
            .requests
            .values()
            .filter(|tracked| tracked.first_token_at.is_none() && tracked.footprint.is_declared)
        {
            let overdue = now
                .since(tracked.placed_at)
                .0
                .saturating_sub(tracked.expected.0);
            if let Some(server) = self.servers.get_mut(&tracked.server) {
                server.overdue = server.overdue.max(overdue);
            }
        }
    }
}
