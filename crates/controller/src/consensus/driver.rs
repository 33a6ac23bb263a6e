//! Driver of the replica: gives it inputs, sends its messages, and hands its responses to whoever waits for them.

use crate::controller::{CommittedChange, Controller, ControllerOutput};
use config::{Command, Proposal};
use replication::{ChangeRequestId, Input, Output, ReplicationMessage, View};
use types::{Address, ConfigEpoch};
use wire::Message;

/// Messages with a larger change than this go out on the bulk connection, in bytes.
const BULK_THRESHOLD_BYTES: usize = 64 << 10;

impl Controller {
    /// Gives the replica an input and handles each of its outputs in order.
    pub(crate) fn drive(&mut self, input: Input) {
        for output in self.replica.step(self.now, input) {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send_message(to, message),
            Output::Write {
                id,
                records,
                replaces_all,
            } => self.outputs.push(ControllerOutput::Write {
                id,
                records,
                replaces_all,
            }),
            Output::Response {
                number,
                is_final,
                body,
            } => self.on_response(number, is_final, body),
            Output::ChangeRejected { request_id, body }
                if self.is_firm(self.replica.state_machine().epoch) =>
            {
                self.answer(request_id, body);
            }
            Output::Committed { request_id, body }
            | Output::ChangeRejected { request_id, body } => {
                self.await_acknowledgements(request_id, body);
            }
            Output::ViewChanged(view) => self.on_view_changed(view),
        }
    }

    /// Holds the response to a change back until enough members know the newest epoch.
    fn await_acknowledgements(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        self.committed.push_back(CommittedChange {
            epoch: self.replica.state_machine().epoch,
            request_id,
            body,
            deadline: self.now + self.timing.fate_deadline,
        });
    }

    /// Leases of the previous view are not valid in the new one, and members get time to renew them.
    fn on_view_changed(&mut self, view: View) {
        self.keep_quotas(&view);
        self.leases.clear();
        self.leases_since = self.now;
        self.retire_deadline = self.now + self.timing.retire_after;
        self.outputs.push(ControllerOutput::ViewChanged(view));
    }

    pub(crate) fn send_message(&mut self, to: Address, message: ReplicationMessage) {
        let is_bulk = match &message {
            ReplicationMessage::SnapshotChunk { .. } | ReplicationMessage::CatchUpBatch { .. } => {
                true
            }
            ReplicationMessage::Forward { change, .. } => change.body.len() > BULK_THRESHOLD_BYTES,
            ReplicationMessage::Propose { body, .. }
            | ReplicationMessage::ConfirmRejection { body, .. } => {
                body.len() > BULK_THRESHOLD_BYTES
            }
            _ => false,
        };
        self.outputs.push(ControllerOutput::Send {
            to,
            is_bulk,
            message: Message::Replication {
                message: Box::new(message),
            },
        });
    }

    /// Gives an answer for the core, if this is still the tail and may.
    pub(crate) fn answer(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        match self.replica.respond(self.now, request_id, body) {
            Some(Output::Send { to, message }) => self.send_message(to, message),
            Some(Output::Response {
                number,
                is_final,
                body,
            }) => self.on_response(number, is_final, body),
            _ => {}
        }
    }

    pub(crate) fn propose_inner(&mut self, command: Command) {
        self.next_inner += 1;
        let proposal = Proposal {
            id: String::new(),
            builds_on: None,
            seen: ConfigEpoch(0),
            command,
        };
        self.drive(Input::Propose {
            number: self.next_inner,
            body: proposal.to_bytes(),
        });
    }
}
