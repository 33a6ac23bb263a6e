//! Whom a router was in touch with, judged by the letters that reached it: its leases, and who knew more.

use super::*;
use wire::LeaseResponse;

/// Whoever told it of more, and is out of reach for this long, stops it no more.
const TOLD_FOR: u64 = 3000;

/// What one life of a router had by letters.
///
/// Invariant: a lease runs from when its poll was sent, as the promise has it, whatever the node makes of it.
#[derive(Debug, Default)]
pub(super) struct Touch {
    /// When its polls were sent, by round.
    polls: BTreeMap<u64, u64>,
    /// Since when it has held leases without a break.
    leased_since: u64,
    lease_deadline: u64,
    /// Epochs that someone told it of: since when and when last.
    met: BTreeMap<u64, (u64, u64)>,
}

impl Touch {
    /// The router sends a letter.
    pub fn sent(&mut self, now: u64, message: &Message) {
        if let Message::LeaseRequest { poll } = message {
            self.polls.retain(|_, at| *at + 10_000 > now);
            self.polls.insert(poll.round, now);
        }
    }
    /// A letter reaches the router, awake.
    pub fn got(&mut self, now: u64, message: &Message) {
        let epoch = match message {
            Message::ConfigUpdate { update } => update.epoch,
            Message::PeerCheckRequest { epoch, .. } | Message::PeerCheckResponse { epoch, .. } => {
                *epoch
            }
            Message::LeaseResponse { round, response } => match response.as_ref() {
                LeaseResponse::Lease { span, epoch, .. } => {
                    let asked = self.polls.get(round).copied();
                    if !self.is_leased(now) {
                        self.leased_since = now;
                    }
                    self.lease_deadline = self
                        .lease_deadline
                        .max(asked.map_or(0, |asked| asked + span.0));
                    *epoch
                }
                LeaseResponse::Elsewhere { .. } => return,
            },
            _ => return,
        };
        let (first, last) = self.met.entry(epoch.0).or_insert((now, now));
        if *last + TOLD_FOR <= now {
            *first = now;
        }
        *last = now;
    }
    /// Whether a lease runs.
    pub fn is_leased(&self, now: u64) -> bool {
        now < self.lease_deadline
    }
    /// Since when leases have run without a break, if one runs.
    pub fn leased_since(&self, now: u64) -> Option<u64> {
        self.is_leased(now).then_some(self.leased_since)
    }
    /// Since when it was told of this epoch or a newer one, if it was lately.
    pub fn met(&self, now: u64, epoch: u64) -> Option<u64> {
        let lately = self
            .met
            .range(epoch..)
            .filter(|(_, (_, last))| now < last + TOLD_FOR);
        lately.map(|(_, (first, _))| *first).min()
    }
}
