//! What a router may know, judged by the messages that reached it: its leases, and epochs that others named.

use std::collections::BTreeMap;
use wire::LeaseResponse;
use wire::Message;

/// A newer epoch that nobody has named for this long, in milliseconds, does not stop the router any more.
const HEARSAY_SPAN: u64 = 3000;

/// What one incarnation of a router knows by messages.
///
/// Invariant: a lease runs from when its poll was sent, as the promise has it, whatever the node makes of it.
#[derive(Debug, Default)]
pub(super) struct RouterContact {
    /// When its polls were sent, by round.
    polls: BTreeMap<u64, u64>,
    /// Since when it has held leases without a break.
    leased_since: u64,
    lease_deadline: u64,
    /// Epochs that messages named: since when, and when last.
    epochs_seen: BTreeMap<u64, (u64, u64)>,
}

impl RouterContact {
    /// Notes a message that the router sends.
    pub(super) fn on_sent(&mut self, now: u64, message: &Message) {
        if let Message::LeaseRequest { request } = message {
            self.polls.retain(|_, at| *at + 10_000 > now);
            self.polls.insert(request.round, now);
        }
    }
    /// Notes a message that reaches the router while it is awake.
    pub(super) fn on_received(&mut self, now: u64, message: &Message) {
        let epoch = match message {
            Message::ConfigUpdate { update } => update.epoch,
            Message::PeerCheckRequest { epoch, .. } | Message::PeerCheckResponse { epoch, .. } => {
                *epoch
            }
            Message::LeaseResponse { round, response } => match response.as_ref() {
                LeaseResponse::Lease { span, epoch, .. } => {
                    let polled_at = self.polls.get(round).copied();
                    if !self.is_leased(now) {
                        self.leased_since = now;
                    }
                    self.lease_deadline = self
                        .lease_deadline
                        .max(polled_at.map_or(0, |polled_at| polled_at + span.0));
                    *epoch
                }
                LeaseResponse::Elsewhere { .. } => return,
            },
            _ => return,
        };
        let (first, last) = self.epochs_seen.entry(epoch.0).or_insert((now, now));
        if *last + HEARSAY_SPAN <= now {
            *first = now;
        }
        *last = now;
    }
    /// Says whether a lease runs.
    pub(super) fn is_leased(&self, now: u64) -> bool {
        now < self.lease_deadline
    }
    /// Gives since when leases have run without a break, if one runs.
    pub(super) fn leased_since(&self, now: u64) -> Option<u64> {
        self.is_leased(now).then_some(self.leased_since)
    }
    /// Gives since when messages have named this epoch or a newer one, if one did lately.
    pub(super) fn epoch_seen_since(&self, now: u64, epoch: u64) -> Option<u64> {
        let lately = self
            .epochs_seen
            .range(epoch..)
            .filter(|(_, (_, last))| now < last + HEARSAY_SPAN);
        lately.map(|(_, (first, _))| *first).min()
    }
}
