//! What must never be seen, and the history by which it's judged.

use super::register::{CONFIRMED, Command, REFUSED};
use replication::View;
use std::collections::BTreeMap;
use types::ViewNumber;

/// What operators were told and which views were decided.
#[derive(Debug, Clone, Default, Hash)]
pub(crate) struct History {
    /// By number.
    pub views: BTreeMap<ViewNumber, View>,
    /// What was proposed for the view after the newest one.
    proposed: Vec<View>,
    /// Commands confirmed.
    pub confirmed: Vec<Command>,
    /// Commands refused for good.
    pub refused: Vec<Command>,
    /// The longest list of commands that a replica was able to show.
    pub shown: Vec<u8>,
    /// The first thing seen that must never be.
    pub violation: Option<String>,
}

impl History {
    /// Notes what must never be.
    pub(crate) fn violate(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// Whether this view hasn't been proposed before.
    pub(crate) fn is_first_proposal(&mut self, view: &View) -> bool {
        self.proposed.retain(|earlier| earlier.epoch >= view.epoch);
        let is_first = !self.proposed.contains(view);
        if is_first {
            self.proposed.push(view.clone());
        }
        is_first
    }

    /// One view for each number.
    pub(crate) fn on_view(&mut self, view: View) {
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if *known != view {
            let what = format!("two views {}: {known:?} and {view:?}", view.epoch);
            self.violate(what);
        }
    }

    /// An operator got a firm answer.
    pub(crate) fn on_answer(&mut self, command: Command, answer: &[u8]) {
        match answer.first() {
            Some(&CONFIRMED) => self.on_confirmed(command),
            Some(&REFUSED) => self.on_refused(command),
            _ => {}
        }
    }

    fn on_confirmed(&mut self, command: Command) {
        if self.confirmed.contains(&command) {
            return;
        }
        if let Some(rival) = self
            .confirmed
            .iter()
            .find(|other| other.base == command.base)
        {
            let what = format!("two commands confirmed on one base: {rival:?} and {command:?}");
            self.violate(what);
        }
        self.confirmed.push(command);
    }

    fn on_refused(&mut self, command: Command) {
        if self.confirmed.contains(&command) {
            self.violate(format!(
                "{command:?} was confirmed, and refused when it came again"
            ));
        }
        if !self.refused.contains(&command) {
            self.refused.push(command);
        }
    }

    /// A replica may answer with these commands taken.
    pub(crate) fn on_readable(&mut self, taken: &[u8], checks_refusals: bool) {
        if let Some(lost) = self
            .confirmed
            .iter()
            .find(|command| !taken.contains(&command.id))
        {
            let what = format!("{lost:?} was confirmed and is not read back: {taken:?}");
            self.violate(what);
        }
        if taken.starts_with(&self.shown) {
            self.shown = taken.to_vec();
        } else {
            let what = format!("{taken:?} can be read after {:?}", self.shown);
            self.violate(what);
        }
        let is_taken = |command: &&Command| taken.contains(&command.id);
        if let Some(refused) = self
            .refused
            .iter()
            .find(is_taken)
            .filter(|_| checks_refusals)
        {
            let what = format!("{refused:?} was refused for good and was taken");
            self.violate(what);
        }
    }
}
