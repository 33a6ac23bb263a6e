//! What a controller believes, as JSON for operators (`GET /v1/believes`). Field names are part of that interface.

use super::ControllerNode;
use replication::ChainPosition;
use serde_json::json;
use std::collections::BTreeMap;
use types::MonotonicInstant;

impl ControllerNode {
    /// The controller's view of the core, its own replica and the members. On a replica that is not the tail, parts
    /// of it may be old.
    pub(crate) fn beliefs(&self, now: MonotonicInstant) -> serde_json::Value {
        let inner = self.endpoints.inner;
        let Some(controller) = &self.controller else {
            return json!({"inner": inner, "fault": self.fault});
        };
        let replica = controller.replica().state();
        let config = controller.replica().state_machine();
        let position = |position: &ChainPosition| {
            json!({
                "address": position.voter.address,
                "disk": position.voter.disk.to_string(),
                "is_level": position.is_caught_up,
            })
        };
        let chain: Vec<_> = replica.view.chain.iter().map(position).collect();
        let voters: Vec<_> = replica.view.voters.iter().map(|v| v.address).collect();
        let last_seen_ms_ago: BTreeMap<_, _> = replica
            .last_seen
            .iter()
            .map(|(address, span)| (address.to_string(), span.0))
            .collect();
        let leases: BTreeMap<_, _> = controller
            .members(now)
            .into_iter()
            .map(|(address, epoch)| (address.to_string(), epoch.0))
            .collect();
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
            "heard_ms_ago": last_seen_ms_ago,
            "epoch": config.epoch,
            "plan_epoch": config.plan_epoch,
            "withdrawn": config.withdrawn,
            "members": config.membership.members,
            "leases": leases,
        })
    }
}
