//! What the ledger says, as status and body.

use crate::controller::Controller;
use config::{AsSent, Fate, NotKept};
use types::{Address, Epoch, Moment, ResultCode, Span};
use wire::Reading;

/// Who was not heard for this long, by the core or by any member that polls, may be lost. Longer than a
/// lease, than a peer check counts, and than a view takes to change.
const FORGET_AFTER: Span = Span(5000);

impl Controller {
    /// What the ledger says, as status and body.
    pub(super) fn read(&self, reading: &Reading) -> (u16, Vec<u8>) {
        let ledger = self.replica.state_machine();
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
            Reading::Latest => good(serde_json::json!({
                "epoch": ledger.epoch,
                "plan_epoch": ledger.plan_epoch,
                "withdrawn": ledger.withdrawn,
                "zones": ledger.zones(),
                "members": ledger.member_zones.iter()
                    .map(|(address, zone)| serde_json::json!({"address": address, "zone": zone})).collect::<Vec<_>>(),
            })),
            Reading::Tenants => good(self.tenants()),
            Reading::Newest => (200, ledger.epoch.0.to_be_bytes().to_vec()),
            Reading::Epoch { epoch: Epoch(0) } if ledger.plan_epoch > Epoch(0) => {
                (200, ledger.plan.clone())
            }
            Reading::Base { .. } => {
                let mut body = ledger.plan_epoch.0.to_be_bytes().to_vec();
                body.extend_from_slice(&ledger.plan);
                (200, body)
            }
            Reading::Epoch { epoch } => match ledger.as_sent(*epoch) {
                Ok(AsSent::Body(bytes)) => (200, bytes),
                Ok(AsSent::Withdraw(zone)) => good(serde_json::json!({"withdraw": zone})),
                Ok(AsSent::Forget(members)) => good(serde_json::json!({"forget": members})),
                Ok(AsSent::Restore(zone)) => good(serde_json::json!({"restore": zone})),
                Err(NotKept::Never) => missing(
                    ResultCode::UnknownEpoch,
                    format!("no operator's command was accepted as epoch {epoch}"),
                ),
                Err(NotKept::NoLonger) => missing(
                    ResultCode::NoLongerKept,
                    format!("what was sent as epoch {epoch} is no longer kept"),
                ),
            },
            Reading::Heard { id, .. } if ledger.entry_by_id(id).is_some() => {
                good(serde_json::json!({"heard": []}))
            }
            Reading::Heard { members, .. } => {
                let is_recent =
                    |at: Option<&Moment>| at.is_some_and(|at| self.now.since(*at) < FORGET_AFTER);
                let is_heard = |member: &&Address| {
                    is_recent(self.seen.get(*member)) || is_recent(self.told_of.get(*member))
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
            Reading::Fate { id }
                if ledger
                    .entry_by_id(id)
                    .is_some_and(|entry| !self.is_firm(entry.epoch)) =>
            {
                let why = "it is in the chain, and not yet accepted: too few disks hold it, or nodes know it";
                missing(ResultCode::CoreNotReady, why.to_owned())
            }
            Reading::Fate { id } => match ledger.history.fate(id) {
                Fate::Accepted(epoch) => good(serde_json::json!({
                    "code": ResultCode::Accepted.number(), "result": ResultCode::Accepted.word(),
                    "id": id, "epoch": epoch,
                })),
                Fate::NotAccepted => missing(
                    ResultCode::UnknownChange,
                    format!("no change with id `{id}` is accepted so far"),
                ),
                Fate::TooOldToKnow => {
                    let oldest = ledger.history.forgotten.epoch.next();
                    let why = format!(
                        "no change from epoch {oldest} on has the id `{id}`; older ones are not remembered"
                    );
                    missing(ResultCode::TooOldToKnow, why)
                }
            },
        }
    }
}
