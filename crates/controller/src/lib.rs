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

/// What each file imports.
pub mod prelude {
    pub use crate::admin::{AdminAnswer, AdminCall, AdminDialect, AdminTask, SchedulerStep};
    pub use crate::contacts::{ContactTiming, Contacts};
    pub use crate::controller::{
        Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorAsk, Quorum,
    };
    pub use crate::core_line::{Attempt, CoreLine, Told};
    pub use crate::daemon::run;
    pub use crate::disk_thread::{DiskEvent, DiskThread};
    pub use crate::process::{Dialects, ReadSeeds};
    pub use crate::redirect::ReadAddresses;
    pub use crate::relay::{Relay, RelayInput};
    pub use crate::settings::Settings;
    pub use config::prelude::*;
    pub use quota::prelude::{Authority, QuotaBounds};
    pub use replication::prelude::*;
    pub use storage::prelude::*;
    pub use transport::prelude::*;
    pub use wire::prelude::*;
}

pub use admin_command::{AdminCommand, AdminTask};
