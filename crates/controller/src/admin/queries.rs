//! What the ledger says, as status and body.

use crate::controller::Controller;
use config::{CommandStatus, HistoryError, OriginalCommand};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, ResultCode};
use wire::Query;

/// Who was not heard for this long, by the core or by any member that polls, may be lost. Longer than a
/// lease, than a peer check counts, and than a view takes to change.
const FORGET_AFTER: Milliseconds = Milliseconds(5000);

impl Controller {
    /// What the ledger says, as status and body.
    pub(crate) fn read(&self, reading: &Query) -> (u16, Vec<u8>) {
        let config_state = self.replica.state_machine();
        let missing = |code: ResultCode, why: String| {
            let value =
                serde_json::json!({"code": code.number(), "result": code.word(), "why": why});
            (
                code.http_status(),
                serde_json::to_vec(&value).expect("a JSON value is JSON"),
            )
        };
        let good = |value: serde_json::Value| {
            (
                200,
                serde_json::to_vec(&value).expect("a JSON value is JSON"),
            )
        };
        match reading {
            Query::Latest => good(serde_json::json!({
                "epoch": config_state.epoch,
                "plan_epoch": config_state.plan_epoch,
                "withdrawn": config_state.withdrawn,
                "zones": config_state.zones(),
                "members": config_state.member_zones.iter()
                    .map(|(address, zone)| serde_json::json!({"address": address, "zone": zone})).collect::<Vec<_>>(),
            })),
            Query::Tenants => good(self.tenants()),
            Query::Newest => (200, config_state.epoch.0.to_be_bytes().to_vec()),
            Query::ConfigEpoch {
                epoch: ConfigEpoch(0),
            } if config_state.plan_epoch > ConfigEpoch(0) => (200, config_state.plan.clone()),
            Query::Base { .. } => {
                let mut body = config_state.plan_epoch.0.to_be_bytes().to_vec();
                body.extend_from_slice(&config_state.plan);
                (200, body)
            }
            Query::ConfigEpoch { epoch } => match config_state.original_command(*epoch) {
                Ok(OriginalCommand::Body(bytes)) => (200, bytes),
                Ok(OriginalCommand::Withdraw(zone)) => good(serde_json::json!({"withdraw": zone})),
                Ok(OriginalCommand::ForceRemove(members)) => {
                    good(serde_json::json!({"forget": members}))
                }
                Ok(OriginalCommand::Restore(zone)) => good(serde_json::json!({"restore": zone})),
                Err(HistoryError::NotAccepted) => missing(
                    ResultCode::UnknownEpoch,
                    format!("no operator's command was accepted as epoch {epoch}"),
                ),
                Err(HistoryError::Compacted) => missing(
                    ResultCode::NoLongerKept,
                    format!("what was sent as epoch {epoch} is no longer kept"),
                ),
            },
            Query::Heard { id, .. } if config_state.entry_by_id(id).is_some() => {
                good(serde_json::json!({"heard": []}))
            }
            Query::Heard { members, .. } => {
                let is_recent = |at: Option<&MonotonicInstant>| {
                    at.is_some_and(|at| self.now.since(*at) < FORGET_AFTER)
                };
                let is_heard = |member: &&Address| {
                    is_recent(self.seen.get(*member))
                        || is_recent(self.reported_reachable.get(*member))
                };
                let heard: Vec<String> = members
                    .iter()
                    .filter(is_heard)
                    .map(Address::to_string)
                    .collect();
                if !heard.is_empty() {
                    return missing(
                        ResultCode::StillHeard,
                        format!("still heard: {}", heard.join(", ")),
                    );
                }
                if self
                    .responses_since
                    .is_none_or(|since| self.now.since(since) < FORGET_AFTER)
                {
                    let why = "the core has not listened for long enough to tell who is lost";
                    return missing(ResultCode::CoreNotReady, why.to_owned());
                }
                good(serde_json::json!({"heard": heard}))
            }
            Query::CommandStatus { id }
                if config_state
                    .entry_by_id(id)
                    .is_some_and(|entry| !self.is_firm(entry.epoch)) =>
            {
                let why = "it is in the chain, and not yet accepted: too few disks hold it, or nodes know it";
                missing(ResultCode::CoreNotReady, why.to_owned())
            }
            Query::CommandStatus { id } => match config_state.history.command_status(id) {
                CommandStatus::Accepted(epoch) => good(serde_json::json!({
                    "code": ResultCode::Accepted.number(), "result": ResultCode::Accepted.word(),
                    "id": id, "epoch": epoch,
                })),
                CommandStatus::NotAccepted => missing(
                    ResultCode::UnknownChange,
                    format!("no change with id `{id}` is accepted so far"),
                ),
                CommandStatus::TooOldToKnow => {
                    let oldest = config_state.history.compacted.epoch.next();
                    let why = format!(
                        "no change from epoch {oldest} on has the id `{id}`; older ones are not remembered"
                    );
                    missing(ResultCode::TooOldToKnow, why)
                }
            },
        }
    }
}
