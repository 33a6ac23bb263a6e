//! Dispatches the messages of controllers and peers to the part of the node that they are for.

use crate::control::node::Node;
use types::{Address, ConfigEpoch};
use wire::Message;

impl Node {
    pub(super) fn on_message(&mut self, from: Address, message: Message) {
        self.last_seen.insert(from, self.now);
        match message {
            Message::LeaseResponse { round, response } => {
                self.on_lease_response(from, round, *response);
            }
            Message::CoreLocation { location, .. } => self.on_core_location(from, *location),
            Message::CreditGrant { grant } => self.on_credit_grant(from, &grant),
            Message::PeerCheckRequest { round, epoch } => {
                self.on_peer_check_request(from, round, epoch);
            }
            Message::PeerCheckResponse { echo, epoch } => {
                self.on_peer_check_response(from, echo, epoch);
            }
            Message::PlanRequest { .. }
            | Message::PlanChunk { .. }
            | Message::PlanDelta { .. }
            | Message::ConfigUpdate { .. }
            | Message::ConfigUpdateRequest => self.on_config_message(from, message),
            Message::Digest { .. } | Message::DigestAck { .. } => {
                self.on_digest_message(from, message);
            }
            Message::ServerListUnchanged { .. }
            | Message::ServerListChange { .. }
            | Message::ServerListRequest { .. }
            | Message::ServerListChunk { .. } => {
                self.step_endpoint_list(|list, now, _| list.on_message(now, from, &message));
            }
            Message::CreditRequest { .. }
            | Message::Replication { .. }
            | Message::LeaseRequest { .. }
            | Message::QueryRequest { .. }
            | Message::QueryResponse { .. } => {}
        }
    }

    fn on_config_message(&mut self, from: Address, message: Message) {
        match message {
            Message::PlanRequest { epoch, offset, .. } => {
                self.on_plan_request(from, epoch, offset);
            }
            Message::PlanChunk {
                epoch,
                offset,
                length,
                bytes,
            } => self.on_plan_chunk(from, epoch, offset, length, &bytes),
            Message::PlanDelta { epoch, base, delta } => {
                self.on_plan_delta(from, epoch, base, &delta);
            }
            Message::ConfigUpdate { update }
                // Before its first lease a node doesn't rely on what its peers know.
                if self.lease_state.lease_deadline().is_some() => {
                    self.on_config_update(from, *update, None);
                }
            Message::ConfigUpdateRequest => self.on_config_update_request(from),
            _ => {}
        }
    }

    fn on_plan_request(&mut self, from: Address, epoch: ConfigEpoch, offset: u64) {
        let chunk = Message::plan_chunk(epoch, &self.plan_bytes, offset)
            .filter(|_| epoch == self.plan_epoch);
        if let Some(chunk) = chunk {
            self.send(from, chunk);
        }
    }

    fn on_config_update_request(&mut self, from: Address) {
        if let Some(update) = self.update() {
            let update = Box::new(update);
            self.send(from, Message::ConfigUpdate { update });
        }
    }

    fn on_digest_message(&mut self, from: Address, message: Message) {
        let messages = match message {
            Message::Digest {
                leg,
                incarnation,
                number,
                is_snapshot,
                change,
            } => self.dissemination.on_digest(
                self.now,
                from,
                leg,
                incarnation,
                number,
                is_snapshot,
                &change,
            ),
            Message::DigestAck { leg, number } => {
                self.dissemination.on_ack(self.now, from, leg, number)
            }
            _ => return,
        };
        self.send_digests(messages);
    }

    fn on_peer_check_request(&mut self, from: Address, round: u64, epoch: ConfigEpoch) {
        let known = if self.lease_state.lease_deadline().is_some() {
            self.lease_state.epoch()
        } else {
            ConfigEpoch(0)
        };
        let response = Message::PeerCheckResponse {
            echo: round,
            epoch: known,
        };
        self.send(from, response);
        self.lease_state.observe_peer_epoch(from, epoch);
        self.request_config_update(from, epoch);
    }

    fn on_peer_check_response(&mut self, from: Address, echo: u64, epoch: ConfigEpoch) {
        // Counted from when the request left that this one answers: a response that was long on its way
        // proves nothing about now.
        let sent_at = self
            .peer_checks
            .iter()
            .find(|(round, _)| *round == echo)
            .map(|(_, sent_at)| *sent_at);
        if let Some(sent_at) = sent_at.filter(|_| epoch > ConfigEpoch(0)) {
            self.lease_state.record_peer_check(from, epoch, sent_at);
        }
        self.lease_state.observe_peer_epoch(from, epoch);
        self.request_config_update(from, epoch);
    }
}
