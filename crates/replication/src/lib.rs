//! Coordination by a chain of a few machines with disks, mended by a small agreed view.
//!
//! Everything here is pure: state machines take inputs and the time, and return what to send,
//! write and answer. No I/O, no clock is read, nothing global. The parts:
//!
//! How it's used, whole, is in `examples/register.rs`. The heart of it:
//!
//! ```
//! use replication::*;
//!
//! struct Count(u64);
//! impl StateMachine for Count {
//!     fn preview(&self, _: &[u8]) -> Preview { Preview::Enter }
//!     fn apply(&mut self, _: &[u8]) -> Vec<u8> { self.0 += 1; vec![] }
//!     fn snapshot(&self) -> Vec<u8> { self.0.to_be_bytes().to_vec() }
//!     fn restore(snapshot: &[u8]) -> Option<Self> { Some(Count(u64::from_be_bytes(snapshot.try_into().ok()?))) }
//! }
//!
//! let me = Voter { address: Address::loopback(7001), disk: DiskId(1) };
//! let founders = vec![me.address, Address::loopback(7002), Address::loopback(7003)];
//! let kept = Kept::default(); // what your disk gave back
//! let mut replica = Replica::new(me, founders, Timing::default(), kept, Count(0), Moment(0))?;
//! for output in replica.step(Moment(100), Input::ClockEvent) {
//!     match output {
//!         Output::Send { to, note } => println!("to {to}: {note:?}"),
//!         Output::Write { id, .. } => println!("sync this, then say Written {{ id: {id} }}"),
//!         _ => {}
//!     }
//! }
//! assert!(!replica.may_respond(Moment(100)), "nobody responds before the founding");
//! # Ok::<(), KeptFault>(())
//! ```
//!
//! - [`Replica`]: one machine of the chain. It replicates what a
//!   [`StateMachine`] keeps, answers from the tail, votes on views, and repairs those
//!   that are behind with a snapshot and then changes.
//! - [`LeaseTable`]: who is a member, by leases renewed at the tail.
//! - [`LeaseState`]: whether a member may act, with its lease or, the core being
//!   out of reach, with half of the members that it last saw.

#![warn(missing_docs)]

mod lease_state;
mod leases;
mod notes;
mod replica;
mod state_machine;
mod view;

pub use lease_state::{LeaseState, LeaseStatus};
pub use leases::{LeaseTable, Membership};
pub use notes::{Ballot, Change, Note, Record, Round, Ticket};
pub use replica::{Input, Output, RecoveredRecords, RecoveryError, Replica, ReplicaState, Timing};
pub use state_machine::{Preview, StateMachine};
pub use view::{ChainPosition, View, Voter};
