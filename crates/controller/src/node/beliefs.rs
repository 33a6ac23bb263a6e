//! What a controller believes, as JSON for operators (`GET /v1/believes`). Field names are part of that interface.

use super::ControllerNode;
use crate::controller::Controller;
use replication::{ChainPosition, ReplicaState};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use types::MonotonicInstant;

impl ControllerNode {
    /// The controller's view of the core, its own replica and the members. On a replica that is not the tail, parts
    /// of it may be old.
    pub(crate) fn beliefs(&self, now: MonotonicInstant) -> Value {
        let inner = self.endpoints.inner;
        let Some(controller) = &self.controller else {
            return json!({"inner": inner, "fault": self.fault});
        };
        let replica = controller.replica().state();
        let config = controller.replica().state_machine();
        let chain: Vec<_> = replica.view.chain.iter().map(position_json).collect();
        let voters: Vec<_> = replica.view.voters.iter().map(|v| v.address).collect();
        json!({
            "inner": inner,
            "disk": replica.me.disk.to_string(),
            "fault": self.fault,
            "view": replica.view.epoch,
            "chain": chain,
            "voters": voters,
            "last": replica.last,
            "replied": replica.commit_index,
            "may_respond": replica.may_respond,
            "is_sound": replica.is_healthy,
            "heard_ms_ago": last_seen_ms_ago(&replica),
            "epoch": config.epoch,
            "plan_epoch": config.plan_epoch,
            "withdrawn": config.withdrawn,
            "members": config.membership.members,
            "leases": lease_epochs(controller, now),
        })
    }
}

fn position_json(position: &ChainPosition) -> Value {
    json!({
        "address": position.voter.address,
        "disk": position.voter.disk.to_string(),
        "is_level": position.is_caught_up,
    })
}

/// How long ago this replica last heard from each other one, in milliseconds.
fn last_seen_ms_ago(replica: &ReplicaState) -> BTreeMap<String, u64> {
    replica
        .last_seen
        .iter()
        .map(|(address, span)| (address.to_string(), span.0))
        .collect()
}

/// The epoch that each holder of a lease is known to have.
fn lease_epochs(controller: &Controller, now: MonotonicInstant) -> BTreeMap<String, u64> {
    controller
        .members(now)
        .into_iter()
        .map(|(address, epoch)| (address.to_string(), epoch.0))
        .collect()
}
