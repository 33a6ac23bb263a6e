//! What a machine's disk holds, in a form in which equal contents compare equal.

use super::register::Command;
use replication::Record;

/// Records as a restart would find them, without those that later ones made void.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct StoredDisk {
    view: Option<Record>,
    accepted: Option<Record>,
    promised: Option<Record>,
    changes: Vec<Record>,
}

impl StoredDisk {
    /// Takes synced records in.
    pub(crate) fn store(&mut self, records: Vec<Record>, is_whole: bool) {
        if is_whole {
            *self = StoredDisk::default();
        }
        for record in records {
            match record {
                Record::View { .. } => self.view = Some(record),
                Record::Accepted { ref proposal } => {
                    let (instance, proposal_number) =
                        (proposal.view.epoch, proposal.proposal_number);
                    self.promised = Some(Record::Promised {
                        instance,
                        proposal_number,
                    });
                    self.accepted = Some(record);
                }
                Record::Promised { .. } => self.promised = Some(record),
                Record::Change { .. } => self.changes.push(record),
                Record::Snapshot { .. } => self.changes = vec![record],
            }
        }
    }

    /// The records in an order that gives the same state again.
    pub(crate) fn records(&self) -> Vec<Record> {
        let fixed = [&self.accepted, &self.view, &self.promised];
        fixed
            .into_iter()
            .flatten()
            .chain(&self.changes)
            .cloned()
            .collect()
    }

    /// Whether it holds this command.
    pub(crate) fn holds(&self, id: u8) -> bool {
        self.changes.iter().any(|record| match record {
            Record::Change { change } => {
                Command::decode(&change.body).is_some_and(|command| command.id == id)
            }
            Record::Snapshot { body, .. } => body.contains(&id),
            _ => false,
        })
    }
}
