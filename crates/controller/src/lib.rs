//! The control plane: a controller is one replica of the fleet's configuration, and brings it to the routers.
//!
//! - [`Controller`] is the state machine, without threads, clocks or I/O of its own. Its parts are in `consensus` (the
//!   driver of the replicated log), `membership` (leases of routers), `admin` (operators' requests), `discovery` (where
//!   the core is) and `quotas` (tenants' credit).
//! - `startup`, `event_loop` and `node` run it in a process with a disk, until `shutdown` is complete.
//! - [`DisklessController`] is run on machines without a disk: it replicates nothing and redirects operators.

mod admin;
mod budget;
mod consensus;
mod controller;
mod discovery;
mod error;
mod event_loop;
mod membership;
mod metrics;
mod node;
mod process;
mod quotas;
mod settings;
mod shutdown;
mod startup;

pub use admin::command_line::{AdminCommand, AdminSubcommand};
pub use admin::control_client::{Attempt, ControlClient, ControlResponse};
pub use admin::task::{AdminAnswer, AdminCall, AdminDialect, AdminStep, AdminTask};
pub use consensus::disk_thread::{DiskEvent, DiskThread};
pub use controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorRequest, Quorum,
    RequestAge,
};
pub use discovery::diskless_controller::{DisklessController, DisklessControllerInput};
pub use discovery::peer_discovery::{DiscoveryTiming, PeerDiscovery};
pub use discovery::redirect::ReadAddresses;
pub use process::{Dialects, ReadSeeds};
pub use settings::Settings;
pub use startup::run;
