//! A replicated state machine for the controllers: chain replication, with
//! a view that Paxos decides.
//!
//! The algorithms, and where each is:
//!
//! - *Chain replication* (van Renesse and Schneider, 2004): changes enter at the head, are
//!   forwarded from member to member once each has them on its disk, and commit at the tail, which
//!   also answers reads. See `replica/chain.rs`.
//! - *Paxos* (Lamport), one single-decree instance for each view: it decides who forms the chain
//!   and who votes on the next view. It replaces the perfect failure detector and master that the
//!   chain's paper assumes. See `replica/view_change.rs`.
//! - *Leases*: the tail answers only while a majority of the voters has granted it a lease, which
//!   fences off a tail that was replaced and doesn't know it. See `replica/lease.rs`. The members
//!   of the fleet hold leases of another kind, granted by the tail: see [`LeaseTable`] for the
//!   tail's side and [`LeaseState`] for a member's.
//! - *Catch-up* of those that are behind, by changes from the log or by a snapshot. See
//!   `replica/catch_up.rs` and `replica/snapshot.rs`.
//!
//! Each of these modules tells its rules, what would break without them, and where it departs from
//! the published form.
//!
//! Everything here is pure: a [`Replica`] takes an [`Input`] and the time, and returns what to
//! send, write and answer as [`Output`]s. It does no I/O, reads no clock and keeps nothing global.
//! `examples/register.rs` is a complete program. The core of it:
//!
//! ```
//! use replication::*;
//!
//! struct Counter(u64);
//! impl StateMachine for Counter {
//!     fn preview(&self, _: &[u8]) -> Preview { Preview::Admit }
//!     fn apply(&mut self, _: &[u8]) -> Vec<u8> { self.0 += 1; vec![] }
//!     fn snapshot(&self) -> Vec<u8> { self.0.to_be_bytes().to_vec() }
//!     fn restore(snapshot: &[u8]) -> Option<Self> { Some(Counter(u64::from_be_bytes(snapshot.try_into().ok()?))) }
//! }
//! # use types::{Address, DiskId, MonotonicInstant};
//!
//! let me = Voter { address: Address::loopback(7001), disk: DiskId(1) };
//! let founders = vec![me.address, Address::loopback(7002), Address::loopback(7003)];
//! let recovered = RecoveredRecords::default(); // what your disk gave back
//! let start = MonotonicInstant(0);
//! let mut replica = Replica::new(me, founders, Timing::default(), recovered, Counter(0), start)?;
//! for output in replica.step(MonotonicInstant(100), Input::Tick) {
//!     match output {
//!         Output::Send { to, message } => println!("to {to}: {message:?}"),
//!         Output::Write { id, .. } => println!("sync this, then give Written {{ id: {id} }}"),
//!         _ => {}
//!     }
//! }
//! assert!(!replica.may_respond(MonotonicInstant(100)), "nobody responds before the founding");
//! # Ok::<(), RecoveryError>(())
//! ```

mod lease_state;
mod leases;
mod messages;
mod replica;
mod state_machine;
mod view;

pub use lease_state::{LeaseState, LeaseStatus};
pub use leases::{LeaseTable, Membership};
pub use messages::{
    Change, ChangeRequestId, ProposalNumber, Record, ReplicationMessage, ViewProposal,
};
pub use replica::{Input, Output, RecoveredRecords, RecoveryError, Replica, ReplicaState, Timing};
pub use state_machine::{Preview, StateMachine};
pub use view::{ChainPosition, View, Voter};
