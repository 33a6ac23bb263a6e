//! Faults drawn from the seed: when they come, which function injects each kind, and how each is healed.
//!
//! Each family of faults has a file of its own with a table of its kinds.

mod aimed;
mod closing;
mod disk;
mod network;
mod operators;
mod process;
mod servers;

use super::event::Event;
use super::fault_kinds::KINDS;
use super::{FaultKind, World};
use types::Address;

/// One fault of a run: its kind, when it begins, how long it lasts, and whom it hits.
#[derive(Debug, Clone)]
pub(crate) struct Fault {
    /// The kind of the fault. A fault that waits for an acknowledgement takes its final kind when it is injected.
    pub kind: FaultKind,
    /// The virtual time at which it is injected, in milliseconds; shown in the printed trace only.
    #[allow(dead_code)]
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub span: u64,
    /// A random number from which its victims follow.
    pub pick: u64,
    /// The directed pairs of addresses between which it drops all messages.
    pub(super) cut: Vec<(Address, Address)>,
}

/// Injects or heals a fault of one kind.
type FaultAction = fn(&mut World, &FaultTarget);

/// A row of a family's table: what begins a fault of this kind, and what ends it.
struct FaultEntry {
    kind: FaultKind,
    inject: FaultAction,
    heal: FaultAction,
}

impl FaultEntry {
    /// A fault whose consequences end by events that its injection schedules, or only at the end of all faults.
    const fn lasting(kind: FaultKind, inject: FaultAction) -> Self {
        FaultEntry {
            kind,
            inject,
            heal: |_, _| (),
        }
    }
    /// A fault that an action of its own ends.
    const fn healed_by(kind: FaultKind, inject: FaultAction, heal: FaultAction) -> Self {
        FaultEntry { kind, inject, heal }
    }
}

/// The tables of all families; together they name each kind once.
const FAMILIES: [&[FaultEntry]; 6] = [
    process::FAULTS,
    network::FAULTS,
    disk::FAULTS,
    servers::FAULTS,
    operators::FAULTS,
    aimed::FAULTS,
];

/// The row of this kind.
fn entry_of(kind: FaultKind) -> &'static FaultEntry {
    let mut entries = FAMILIES.iter().copied().flatten();
    entries
        .find(|entry| entry.kind == kind)
        .expect("each kind has a row in one family's table")
}

/// What a fault hits: the fault's own numbers, and the machines that follow from its pick.
struct FaultTarget {
    /// The fault's index in the world's list of faults.
    place: usize,
    kind: FaultKind,
    span: u64,
    pick: u64,
    /// Killed processes start again after this many milliseconds.
    restart_delay: u64,
    controller: usize,
    router: usize,
    /// The index of a model server.
    model: usize,
}

/// No fault begins earlier than this, in milliseconds: the fleet has to form first.
const FIRST_FAULT: u64 = 4000;
/// The stretch of a run in which no fault begins, at its start and end together, in milliseconds.
const QUIET_SPAN: u64 = 8000;
/// The shortest fault, in milliseconds.
const SHORTEST_FAULT: u64 = 500;
/// What is drawn on top of the shortest fault, in milliseconds, exclusive.
const FAULT_SPREAD: u64 = 5500;
/// The same for a controller that is cut off: long enough for connections to be given up.
const CUT_CONTROLLER_SPREAD: u64 = 16_500;
/// A closing fault begins this long before all is healed, in milliseconds,
const CLOSING_LEAD: u64 = 200;
/// and lasts this long.
const CLOSING_SPAN: u64 = 150;
/// Exchanges of seeds are drawn more often by so many extra entries: most of what they may bring about needs
/// one more fault behind them.
const EXTRA_EXCHANGES: usize = 6;

impl World {
    /// Draws the run's faults, and schedules each, its healing, and the end of all faults.
    pub(super) fn plan_faults(&mut self) {
        let kinds = self.kinds_to_draw();
        for place in 0..self.rules.faults as usize {
            let kind = kinds[self.below(kinds.len() as u64) as usize];
            let fault = self.draw_fault(place, kind);
            let (at, span) = (fault.at, fault.span);
            self.faults.push(fault);
            self.put(at, Event::InjectFault { place });
            self.put(at + span, Event::Heal { place });
        }
        let place = self.faults.len();
        self.put(self.rules.span.0, Event::Heal { place });
    }

    fn kinds_to_draw(&self) -> Vec<FaultKind> {
        if !self.rules.kinds.is_empty() {
            return self.rules.kinds.clone();
        }
        let mut kinds = KINDS.to_vec();
        if self.rules.relays > 0 {
            kinds.extend([FaultKind::ExchangeSeeds; EXTRA_EXCHANGES]);
        }
        kinds
    }

    /// Draws when a fault begins, how long it lasts and its pick, in this order.
    fn draw_fault(&mut self, place: usize, kind: FaultKind) -> Fault {
        let run = self.rules.span.0;
        let at = FIRST_FAULT + self.below(run.saturating_sub(QUIET_SPAN));
        let spread = if kind == FaultKind::CutController {
            CUT_CONTROLLER_SPREAD
        } else {
            FAULT_SPREAD
        };
        let span = (SHORTEST_FAULT + self.below(spread)).min(run - at);
        let pick = self.draw();
        // The last fault of some runs comes right before all is healed.
        let is_closing = place + 1 == self.rules.faults as usize && pick.is_multiple_of(3);
        let (at, span) = if is_closing {
            (run - CLOSING_LEAD, CLOSING_SPAN)
        } else {
            (at, span)
        };
        Fault {
            kind,
            at,
            span,
            pick,
            cut: vec![],
        }
    }

    /// The machines that a fault hits, as the world is now.
    fn target_of(&self, place: usize) -> FaultTarget {
        let Fault {
            kind, span, pick, ..
        } = self.faults[place];
        let models = self.rules.deployment.shape().models;
        FaultTarget {
            place,
            kind,
            span,
            pick,
            restart_delay: restart_delay(pick),
            controller: (pick % self.controllers.len() as u64) as usize,
            router: (pick / 7 % self.routers.len() as u64) as usize,
            model: (pick / 11 % models as u64) as usize,
        }
    }

    /// Injects a fault of the list.
    pub(super) fn inject_fault(&mut self, place: usize) {
        let target = self.target_of(place);
        (entry_of(target.kind).inject)(self, &target);
    }

    /// Injects the faults that wait for an acknowledgement.
    pub(super) fn inject_after_ack(&mut self) {
        for place in std::mem::take(&mut self.armed) {
            self.faults[place].kind = match self.faults[place].kind {
                FaultKind::PowerLossAfterAck => FaultKind::PowerLossAll,
                FaultKind::LoseBudgetAfterAck => FaultKind::LoseBudget,
                _ => FaultKind::WipeDisk,
            };
            self.inject_fault(place);
        }
    }

    /// Ends a fault of the list; the index behind the last one ends them all.
    pub(super) fn heal(&mut self, place: usize) {
        if place >= self.faults.len() {
            return self.heal_all();
        }
        self.armed.retain(|armed| *armed != place);
        self.armed_for_send.retain(|armed| *armed != place);
        self.armed_for_write.retain(|armed| *armed != place);
        self.faults[place].cut.clear();
        self.update_cuts();
        let target = self.target_of(place);
        (entry_of(target.kind).heal)(self, &target);
    }
}

/// How long a process that this pick's fault killed stays down, in milliseconds: 50 to 2549.
fn restart_delay(pick: u64) -> u64 {
    50 + pick % 2500
}

#[cfg(test)]
mod tests;
