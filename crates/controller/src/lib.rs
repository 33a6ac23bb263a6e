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
mod metrics;
mod own_interface;
mod process;
mod redirect;
mod relay;
mod relay_daemon;
mod settings;

pub use admin::{AdminAnswer, AdminCall, AdminDialect, AdminTask, SchedulerStep};
pub use contacts::{ContactTiming, PeerDiscovery};
pub use controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorRequest, Quorum,
};
pub use core_line::{Attempt, ReplicationTransport, Told};
pub use daemon::run;
pub use disk_thread::{DiskEvent, DiskThread};
pub use process::{Dialects, ReadSeeds};
pub use redirect::ReadAddresses;
pub use relay::{DisklessController, RelayInput};
pub use settings::Settings;

pub use admin_command::{AdminCommand, AdminSubcommand};
