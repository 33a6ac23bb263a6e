//! Responses to operators' queries, each an HTTP status and a body, read from this replica's configuration.

use crate::controller::Controller;
use config::{CommandStatus, ConfigStateMachine, HistoryError, OriginalCommand};
use serde_json::{Value, json};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, ResultCode};
use wire::Query;

/// A member that neither the core nor any polling member has heard from for this long may be removed by force. It is
/// longer than a lease, than the time within which a peer check counts, and than a change of the view takes.
const UNREACHABLE_AFTER: Milliseconds = Milliseconds(5000);

/// An HTTP status and a body.
type StatusAndBody = (u16, Vec<u8>);

impl Controller {
    /// Answers a query from the configuration that this replica has.
    pub(crate) fn read(&self, query: &Query) -> StatusAndBody {
        let config_state = self.replica.state_machine();
        match query {
            Query::Latest => read_latest(config_state),
            Query::Tenants => success(&self.tenants()),
            Query::Newest => (200, config_state.epoch.0.to_be_bytes().to_vec()),
            Query::Base { .. } => read_base(config_state),
            Query::AcceptedCommand { epoch } => read_epoch(config_state, *epoch),
            Query::Reachability { id, members } => self.read_reachable(id, members),
            Query::CommandStatus { id } => self.read_command_status(id),
        }
    }

    /// Whether all of these members are unreachable, so that they may be removed by force. A removal that is already
    /// in the configuration under this id is not checked again.
    fn read_reachable(&self, id: &str, members: &[Address]) -> StatusAndBody {
        if self.replica.state_machine().entry_by_id(id).is_some() {
            return success(&json!({"heard": []}));
        }
        let reachable: Vec<String> = members
            .iter()
            .filter(|member| self.is_reachable(member))
            .map(Address::to_string)
            .collect();
        if !reachable.is_empty() {
            return failure(
                ResultCode::StillHeard,
                &format!("still heard: {}", reachable.join(", ")),
            );
        }
        let has_observed_long_enough = self
            .responses_since
            .is_some_and(|since| self.now.since(since) >= UNREACHABLE_AFTER);
        if !has_observed_long_enough {
            return failure(
                ResultCode::CoreNotReady,
                "the core has not listened for long enough to tell who is lost",
            );
        }
        success(&json!({"heard": reachable}))
    }

    /// Whether the core, or any member that polls, has heard from this member recently.
    fn is_reachable(&self, member: &Address) -> bool {
        let is_recent = |at: Option<&MonotonicInstant>| {
            at.is_some_and(|at| self.now.since(*at) < UNREACHABLE_AFTER)
        };
        is_recent(self.seen.get(member)) || is_recent(self.reported_reachable.get(member))
    }

    /// The status of the change with this id: accepted, not accepted, or too old to be known.
    fn read_command_status(&self, id: &str) -> StatusAndBody {
        let config_state = self.replica.state_machine();
        let is_uncertain = config_state
            .entry_by_id(id)
            .is_some_and(|entry| !self.is_firm(entry.epoch));
        if is_uncertain {
            return failure(
                ResultCode::CoreNotReady,
                "it is in the chain, and not yet accepted: too few disks hold it, or nodes know it",
            );
        }
        match config_state.history.command_status(id) {
            CommandStatus::Accepted(epoch) => success(&json!({
                "code": ResultCode::Accepted.number(),
                "result": ResultCode::Accepted.word(),
                "id": id,
                "epoch": epoch,
            })),
            CommandStatus::NotAccepted => failure(
                ResultCode::UnknownChange,
                &format!("no change with id `{id}` is accepted so far"),
            ),
            CommandStatus::TooOldToKnow => {
                let oldest = config_state.history.compacted.epoch.next();
                failure(
                    ResultCode::TooOldToKnow,
                    &format!(
                        "no change from epoch {oldest} on has the id `{id}`; older ones are not remembered"
                    ),
                )
            }
        }
    }
}

/// The newest epoch, and the configuration that is in force at it.
fn read_latest(config_state: &ConfigStateMachine) -> StatusAndBody {
    let members: Vec<Value> = config_state
        .member_zones
        .iter()
        .map(|(address, zone)| json!({"address": address, "zone": zone}))
        .collect();
    success(&json!({
        "epoch": config_state.epoch,
        "plan_epoch": config_state.plan_epoch,
        "withdrawn": config_state.withdrawn,
        "zones": config_state.zones(),
        "members": members,
    }))
}

/// The plan in force, after its epoch as 8 bytes in big-endian order.
fn read_base(config_state: &ConfigStateMachine) -> StatusAndBody {
    let mut body = config_state.plan_epoch.0.to_be_bytes().to_vec();
    body.extend_from_slice(&config_state.plan);
    (200, body)
}

/// The operator's command that was accepted as this epoch. Epoch 0 stands for the plan in force, once there is one.
fn read_epoch(config_state: &ConfigStateMachine, epoch: ConfigEpoch) -> StatusAndBody {
    if epoch == ConfigEpoch(0) && config_state.plan_epoch > ConfigEpoch(0) {
        return (200, config_state.plan.clone());
    }
    match config_state.original_command(epoch) {
        Ok(OriginalCommand::Body(bytes)) => (200, bytes),
        Ok(OriginalCommand::Withdraw(zone)) => success(&json!({"withdraw": zone})),
        Ok(OriginalCommand::ForceRemove(members)) => success(&json!({"forget": members})),
        Ok(OriginalCommand::Restore(zone)) => success(&json!({"restore": zone})),
        Err(HistoryError::NotAccepted) => failure(
            ResultCode::UnknownEpoch,
            &format!("no operator's command was accepted as epoch {epoch}"),
        ),
        Err(HistoryError::Compacted) => failure(
            ResultCode::NoLongerKept,
            &format!("what was sent as epoch {epoch} is no longer kept"),
        ),
    }
}

fn success(value: &Value) -> StatusAndBody {
    (200, to_body(value))
}

/// A result code's HTTP status, with the code and the explanation as JSON.
fn failure(code: ResultCode, why: &str) -> StatusAndBody {
    let value = json!({"code": code.number(), "result": code.word(), "why": why});
    (code.http_status(), to_body(&value))
}

fn to_body(value: &Value) -> Vec<u8> {
    serde_json::to_vec(value).expect("a JSON value is JSON")
}
