//! All that operators called and were told in a run, and whether it is linearizable.

use super::linearizability::{
    Call, ChangeNumber, PlanAction, PlanAnswer, PlanRegister, SequentialRegister, ZoneAction,
    ZoneAnswer, ZoneRegister, check_linearizable,
};
use crate::world::linearizability;
use std::collections::{BTreeMap, BTreeSet};
use types::ZoneName;

/// What an operator's call asks for.
#[derive(Debug, Clone)]
pub(super) enum CallAction {
    /// A plan or a patch, conditional on a revision.
    Put {
        /// Which change; the same when it is sent again.
        change: ChangeNumber,
        /// The revision that it builds on.
        base: u64,
        /// Its own.
        revision: u64,
    },
    /// Read the plan in force.
    ReadPlan,
    /// Withdraw a zone, or restore it.
    SetZone {
        /// Which zone.
        zone: ZoneName,
        /// Which of the two.
        is_withdrawn: bool,
    },
    /// Read which zones are withdrawn.
    ReadZones,
}

/// A certain answer to a call.
#[derive(Debug, Clone)]
pub(super) enum CallAnswer {
    /// It is done.
    Done,
    /// It isn't, and never will be.
    Refused,
    /// This change made the plan in force.
    Plan(ChangeNumber),
    /// These zones are withdrawn.
    Zones(Vec<ZoneName>),
}

struct RecordedCall {
    sent: u64,
    action: CallAction,
    answer: Option<(u64, CallAnswer)>,
    /// When its operator waited for it no longer.
    given_up: Option<u64>,
}

/// The calls of a run, by their numbers.
#[derive(Default)]
pub(super) struct History {
    calls: BTreeMap<u64, RecordedCall>,
}

impl History {
    /// A call leaves its operator.
    pub(super) fn sent(&mut self, now: u64, number: u64, action: CallAction) {
        self.calls.insert(
            number,
            RecordedCall {
                sent: now,
                action,
                answer: None,
                given_up: None,
            },
        );
    }
    /// A certain answer reaches the operator.
    pub(super) fn answered(&mut self, now: u64, number: u64, answer: CallAnswer) {
        self.calls
            .entry(number)
            .and_modify(|call| call.answer = Some((now, answer)));
    }
    /// An operator waits for an answer no longer, or got one that leaves the call's fate open.
    pub(super) fn given_up(&mut self, now: u64, number: u64) {
        self.calls
            .entry(number)
            .and_modify(|call| call.given_up = call.given_up.or(Some(now)));
    }

    /// The calls, a line each, in the order in which they were sent.
    pub(super) fn lines(&self) -> Vec<String> {
        let line = |(number, call): (&u64, &RecordedCall)| {
            let RecordedCall {
                sent,
                action,
                answer,
                given_up,
            } = call;
            let given_up = given_up.map_or(String::new(), |at| format!(", given up at {at}"));
            let answer = answer.as_ref().map_or(String::new(), |(at, answer)| {
                format!(", {answer:?} at {at}")
            });
            format!("call {number} at {sent}: {action:?}{answer}{given_up}")
        };
        self.calls.iter().map(line).collect()
    }

    /// What is wrong with the history, register by register.
    pub(super) fn judge(&self) -> Vec<String> {
        let mut faults = vec![];
        let mut judge = |what: String, outcome: Result<(), linearizability::Mismatch>| {
            faults.extend(
                outcome
                    .err()
                    .map(|mismatch| format!("{what} is not linearizable: {mismatch:?}")),
            );
        };
        judge(
            "the plan".to_owned(),
            check_linearizable(&self.plan_calls()),
        );
        for zone in self.zones() {
            judge(
                format!("zone {zone}"),
                check_linearizable(&self.zone_calls(&zone)),
            );
        }
        faults
    }

    fn zones(&self) -> BTreeSet<ZoneName> {
        let named = self.calls.values().filter_map(|call| match &call.action {
            CallAction::SetZone { zone, .. } => Some(zone.clone()),
            _ => None,
        });
        named.collect()
    }

    fn plan_calls(&self) -> Vec<Call<PlanRegister>> {
        let calls = self.calls.values().filter_map(|call| {
            let action = match call.action {
                CallAction::Put {
                    change,
                    base,
                    revision,
                } => PlanAction::Put {
                    change,
                    base,
                    revision,
                },
                CallAction::ReadPlan => PlanAction::Read,
                _ => return None,
            };
            Some(call_of(
                call,
                action,
                call.answer
                    .as_ref()
                    .and_then(|(at, answer)| Some((*at, plan_answer(answer)?))),
            ))
        });
        calls
            .filter(|call| call.answer.is_some() || matches!(call.action, PlanAction::Put { .. }))
            .collect()
    }

    fn zone_calls(&self, zone: &ZoneName) -> Vec<Call<ZoneRegister>> {
        let calls = self.calls.values().filter_map(|call| {
            let action = match &call.action {
                CallAction::SetZone {
                    zone: named,
                    is_withdrawn,
                } if named == zone => ZoneAction::Set {
                    is_withdrawn: *is_withdrawn,
                },
                CallAction::ReadZones => ZoneAction::Read,
                _ => return None,
            };
            let answer = call
                .answer
                .as_ref()
                .and_then(|(at, answer)| Some((*at, zone_answer(answer, zone)?)));
            let refused = matches!(call.answer, Some((_, CallAnswer::Refused)));
            let mut found = call_of(call, action, answer);
            found.void_from = self.void_from(call, zone);
            (!refused && (found.answer.is_some() || action != ZoneAction::Read)).then_some(found)
        });
        calls.collect()
    }

    /// From when on a call on a zone, of which nobody knows what became, may not take effect any more: the first
    /// acknowledged call of the contrary that was sent later. It comes after all that was given up before.
    fn void_from(&self, unclear: &RecordedCall, zone: &ZoneName) -> Option<u64> {
        let CallAction::SetZone {
            is_withdrawn: wanted,
            ..
        } = unclear.action
        else {
            return None;
        };
        let contrary = self.calls.values().filter(|call| {
            matches!(&call.action, CallAction::SetZone { zone: named, is_withdrawn } if named == zone && *is_withdrawn != wanted)
        });
        let later = contrary.filter(|call| call.sent > unclear.sent);
        let ends = later.filter_map(|call| {
            let (answered, _) = call
                .answer
                .as_ref()
                .filter(|(_, answer)| matches!(answer, CallAnswer::Done))?;
            Some(if unclear.given_up.is_some_and(|at| at <= call.sent) {
                call.sent
            } else {
                *answered
            })
        });
        ends.min()
    }
}

fn call_of<R: SequentialRegister>(
    call: &RecordedCall,
    action: R::Action,
    answer: Option<(u64, R::Answer)>,
) -> Call<R> {
    Call {
        sent: call.sent,
        action,
        answer,
        void_from: None,
    }
}

fn plan_answer(answer: &CallAnswer) -> Option<PlanAnswer> {
    match answer {
        CallAnswer::Done => Some(PlanAnswer::Taken),
        CallAnswer::Refused => Some(PlanAnswer::Refused),
        CallAnswer::Plan(change) => Some(PlanAnswer::Found(*change)),
        CallAnswer::Zones(_) => None,
    }
}

fn zone_answer(answer: &CallAnswer, zone: &ZoneName) -> Option<ZoneAnswer> {
    match answer {
        CallAnswer::Done => Some(ZoneAnswer::Done),
        CallAnswer::Zones(zones) => Some(ZoneAnswer::Found {
            is_withdrawn: zones.contains(zone),
        }),
        CallAnswer::Refused | CallAnswer::Plan(_) => None,
    }
}
