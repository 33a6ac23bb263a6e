//! A linearizability check: whether the calls on one register, with the answers that they got, fit some request
//! in which each takes effect at one point between its call and its answer.
//!
//! The search is that of Wing and Gong: any call that was sent before the first answer still to be explained
//! may come next. Sets of explained calls and the register's state that were met before are not searched again.

use std::collections::{BTreeSet, HashSet};
use std::fmt::Debug;
use std::hash::Hash;

/// A register without any concurrency: what its answers mean.
pub(super) trait SequentialRegister: Clone + Debug + Eq + Hash + Default {
    /// What a call asks for.
    type Action: Clone + Debug;
    /// What a call was told for certain.
    type Answer: Clone + Debug;

    /// The state after an action that got this answer; `None` if this state doesn't justify the answer.
    fn after(&self, action: &Self::Action, answer: &Self::Answer) -> Option<Self>;
    /// The state after an action whose answer nobody knows; `None` if it would change nothing.
    fn after_unclear(&self, action: &Self::Action) -> Option<Self>;
}

/// One call on a register.
#[derive(Debug, Clone)]
pub(super) struct Call<R: SequentialRegister> {
    /// When it was sent.
    pub sent: u64,
    /// What it asks for.
    pub action: R::Action,
    /// What it was told, and when; `None` of a call that may or may not take effect.
    pub answer: Option<(u64, R::Answer)>,
    /// An unclear call may not take effect after any answered call that was sent at this time or later.
    pub void_from: Option<u64>,
}

/// Why a history isn't linearizable, or not known to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Mismatch {
    /// No request explains all answers. The longest one found stops before this call.
    Unexplained(String),
    /// The search was given up.
    TooWide,
}

/// Requests that are looked at before a search is given up.
const MOST_STEPS: usize = 400_000;

/// The calls that a request has explained so far, as bits.
#[derive(Clone, PartialEq, Eq, Hash)]
struct CallSet(Vec<u64>);

impl CallSet {
    fn new(count: usize) -> Self {
        CallSet(vec![0; count.div_ceil(64)])
    }
    fn has(&self, place: usize) -> bool {
        self.0[place / 64] >> (place % 64) & 1 == 1
    }
    fn with(&self, place: usize) -> Self {
        let mut more = self.clone();
        more.0[place / 64] |= 1 << (place % 64);
        more
    }
}

/// A request found so far.
struct Step<R> {
    explained: CallSet,
    state: R,
    count: usize,
    /// When the newest of its answered calls was sent.
    newest_sent: u64,
}

/// Whether these calls, from the register's first state on, are linearizable.
pub(super) fn check_linearizable<R: SequentialRegister>(calls: &[Call<R>]) -> Result<(), Mismatch> {
    let answered = calls.iter().filter(|call| call.answer.is_some()).count();
    let first = Step {
        explained: CallSet::new(calls.len()),
        state: R::default(),
        count: 0,
        newest_sent: 0,
    };
    let (mut stack, mut met, mut deepest) = (vec![first], HashSet::new(), (0, None));
    while let Some(step) = stack.pop() {
        if step.count == answered {
            return Ok(());
        }
        if !met.insert((step.explained.clone(), step.state.clone())) {
            continue;
        }
        if met.len() > MOST_STEPS {
            return Err(Mismatch::TooWide);
        }
        let Some((next, first_answer)) = first_answer(calls, &step.explained) else {
            return Ok(());
        };
        if step.count >= deepest.0 {
            deepest = (step.count, Some(next));
        }
        // The last that is pushed is tried first: calls with answers before unclear ones.
        unclear_steps(calls, &step, first_answer)
            .into_iter()
            .for_each(|step| stack.push(step));
        answered_steps(calls, &step, first_answer)
            .into_iter()
            .rev()
            .for_each(|step| stack.push(step));
    }
    let stuck_at = deepest
        .1
        .map(|place: usize| format!("{:?}", calls[place]))
        .unwrap_or_default();
    Err(Mismatch::Unexplained(stuck_at))
}

/// The unexplained call that was answered first, and when.
fn first_answer<R: SequentialRegister>(
    calls: &[Call<R>],
    explained: &CallSet,
) -> Option<(usize, u64)> {
    let open = calls
        .iter()
        .enumerate()
        .filter(|(place, _)| !explained.has(*place));
    open.filter_map(|(place, call)| Some((place, call.answer.as_ref()?.0)))
        .min_by_key(|(_, answered)| *answered)
}

fn answered_steps<R: SequentialRegister>(
    calls: &[Call<R>],
    step: &Step<R>,
    until: u64,
) -> Vec<Step<R>> {
    let open = calls
        .iter()
        .enumerate()
        .filter(|(place, call)| !step.explained.has(*place) && call.sent <= until);
    open.filter_map(|(place, call)| {
        let (_, answer) = call.answer.as_ref()?;
        let state = step.state.after(&call.action, answer)?;
        let newest_sent = step.newest_sent.max(call.sent);
        Some(Step {
            explained: step.explained.with(place),
            state,
            count: step.count + 1,
            newest_sent,
        })
    })
    .collect()
}

fn unclear_steps<R: SequentialRegister>(
    calls: &[Call<R>],
    step: &Step<R>,
    until: u64,
) -> Vec<Step<R>> {
    let open = calls
        .iter()
        .enumerate()
        .filter(|(place, call)| !step.explained.has(*place) && call.sent <= until);
    let unclear = open.filter(|(_, call)| call.answer.is_none());
    let in_time = unclear.filter(|(_, call)| {
        call.void_from
            .is_none_or(|void_from| step.newest_sent < void_from)
    });
    let mut seen: Vec<(R, u64)> = vec![];
    let mut steps = vec![];
    for (place, call) in in_time {
        let Some(state) = step.state.after_unclear(&call.action) else {
            continue;
        };
        let void_from = call.void_from.unwrap_or(u64::MAX);
        // Of two that come to the same, the one that may wait longer can stand in for the other later.
        if let Some(same) = seen.iter().position(|(known, _)| *known == state) {
            if seen[same].1 <= void_from {
                continue;
            }
            seen.remove(same);
            steps.remove(same);
        }
        seen.push((state.clone(), void_from));
        let explained = step.explained.with(place);
        steps.push(Step {
            explained,
            state,
            count: step.count,
            newest_sent: step.newest_sent,
        });
    }
    steps
}

/// Which change: calls that are the same change have the same number.
pub(super) type ChangeNumber = u64;

/// The plan in force, as operators see it: a put is conditional on the revision that it builds on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct PlanRegister {
    revision: u64,
    /// What made it; 0 before the first.
    change: ChangeNumber,
    taken: BTreeSet<ChangeNumber>,
    refused: BTreeSet<ChangeNumber>,
}

/// A call on the plan.
#[derive(Debug, Clone)]
pub(super) enum PlanAction {
    /// Make it this revision, if it is at `base`.
    Put {
        /// Which change.
        change: ChangeNumber,
        /// The revision that it builds on.
        base: u64,
        /// Its own.
        revision: u64,
    },
    /// Which change made the plan in force?
    Read,
}

/// A certain answer to it.
#[derive(Debug, Clone)]
pub(super) enum PlanAnswer {
    /// It is taken.
    Taken,
    /// It is not, and never will be.
    Refused,
    /// This change made the plan in force.
    Found(ChangeNumber),
}

impl PlanRegister {
    fn take(&self, change: ChangeNumber, base: u64, revision: u64) -> Option<Self> {
        if base != self.revision || self.refused.contains(&change) || self.taken.contains(&change) {
            return None;
        }
        let mut next = self.clone();
        (next.revision, next.change) = (revision, change);
        next.taken.insert(change);
        Some(next)
    }
}

impl SequentialRegister for PlanRegister {
    type Action = PlanAction;
    type Answer = PlanAnswer;

    fn after(&self, action: &PlanAction, answer: &PlanAnswer) -> Option<Self> {
        match (action, answer) {
            (PlanAction::Put { change, .. }, PlanAnswer::Taken) if self.taken.contains(change) => {
                Some(self.clone())
            }
            (
                PlanAction::Put {
                    change,
                    base,
                    revision,
                },
                PlanAnswer::Taken,
            ) => self.take(*change, *base, *revision),
            (PlanAction::Put { change, base, .. }, PlanAnswer::Refused) => {
                let is_justified = *base != self.revision && !self.taken.contains(change);
                let mut next = self.clone();
                next.refused.insert(*change);
                is_justified.then_some(next)
            }
            (PlanAction::Read, PlanAnswer::Found(change)) => {
                (*change == self.change).then(|| self.clone())
            }
            _ => None,
        }
    }

    fn after_unclear(&self, action: &PlanAction) -> Option<Self> {
        match action {
            PlanAction::Put {
                change,
                base,
                revision,
            } => self.take(*change, *base, *revision),
            PlanAction::Read => None,
        }
    }
}

/// Whether one zone is withdrawn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ZoneRegister {
    is_withdrawn: bool,
}

/// A call on a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneAction {
    /// Withdraw it, or restore it.
    Set {
        /// Which.
        is_withdrawn: bool,
    },
    /// Is it withdrawn?
    Read,
}

/// A certain answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneAnswer {
    /// So it is now.
    Done,
    /// It was found so.
    Found {
        /// How.
        is_withdrawn: bool,
    },
}

impl SequentialRegister for ZoneRegister {
    type Action = ZoneAction;
    type Answer = ZoneAnswer;

    fn after(&self, action: &ZoneAction, answer: &ZoneAnswer) -> Option<Self> {
        match (*action, *answer) {
            (ZoneAction::Set { is_withdrawn }, ZoneAnswer::Done) => {
                Some(ZoneRegister { is_withdrawn })
            }
            (ZoneAction::Read, ZoneAnswer::Found { is_withdrawn }) => {
                (is_withdrawn == self.is_withdrawn).then(|| self.clone())
            }
            _ => None,
        }
    }

    fn after_unclear(&self, action: &ZoneAction) -> Option<Self> {
        match *action {
            ZoneAction::Set { is_withdrawn } if is_withdrawn != self.is_withdrawn => {
                Some(ZoneRegister { is_withdrawn })
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
