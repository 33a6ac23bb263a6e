//! The control plane: a controller keeps the ledger on its disk, as one of a chain, and tells the
//! routers what is in force.

mod admin;
mod admin_command;
mod contacts;
mod control_event;
mod controller;
mod core_line;
mod daemon;
mod disk_thread;
mod own_interface;
mod process;
mod redirect;
mod relay;
mod relay_daemon;
mod settings;
mod tallies;

pub use admin::{AdminAnswer, AdminCall, AdminDialect, AdminTask, SchedulerStep};
pub use contacts::{ContactTiming, Contacts};
pub use controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorAsk, Quorum,
};
pub use core_line::{Attempt, CoreLine, Told};
pub use daemon::run;
pub use disk_thread::{DiskEvent, DiskThread};
pub use process::{Dialects, ReadSeeds};
pub use redirect::ReadAddresses;
pub use relay::{Relay, RelayInput};
pub use settings::Settings;

pub use admin_command::{AdminCommand, AdminSubcommand};
