//! The control plane: a controller keeps the ledger on its disk, as one of a chain, and tells the
//! routers what is in force.

mod admin;
mod consensus;
mod controller;
mod discovery;
mod event_loop;
mod membership;
mod metrics;
mod process;
mod quotas;
mod settings;
mod startup;

pub use admin::control_client::{Attempt, ReplicationTransport, Told};
pub use admin::task::{AdminAnswer, AdminCall, AdminDialect, AdminTask, SchedulerStep};
pub use consensus::disk_thread::{DiskEvent, DiskThread};
pub use controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorRequest, Quorum,
};
pub use discovery::diskless_controller::{DisklessController, RelayInput};
pub use discovery::peer_discovery::{ContactTiming, PeerDiscovery};
pub use discovery::redirect::ReadAddresses;
pub use process::{Dialects, ReadSeeds};
pub use settings::Settings;
pub use startup::run;

pub use admin::command_line::{AdminCommand, AdminSubcommand};
