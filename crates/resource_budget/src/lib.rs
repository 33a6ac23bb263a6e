//! One budget of connections and memory for all that peers of a process can make it hold.
//!
//! [`Accounting`] is a pure state machine: connections and the bytes held for them go in with the time, and who is
//! admitted, who is refused and who must give way comes out. It does no I/O and reads no clock.

mod accounting;
mod policy;
mod safety;

pub use accounting::{Accounting, Admission, Growth, Phase, SlotId};
pub use policy::{BudgetLimits, HOLD_GRACE, ListenerId, ListenerPolicy, SMALL_REQUEST_BYTES};
