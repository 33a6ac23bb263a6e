//! The control plane: a registrar keeps the ledger on its disk, as one of a chain, and tells the
//! criers what is in force.

mod controller;
mod core_line;
mod daemon;
mod desk;
mod desk_line;
mod disk_thread;
mod redirect;
mod settings;

/// What each file imports.
pub mod prelude {
    pub use crate::controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorAsk, Quorum};
    pub use crate::core_line::{Attempt, CoreLine, Told};
    pub use crate::daemon::{Dialects, run};
    pub use crate::desk::{DeskAnswer, DeskCall, DeskDialect, DeskStep, DeskTask};
    pub use crate::disk_thread::{DiskEvent, DiskThread};
    pub use crate::redirect::ReadAddresses;
    pub use crate::settings::Settings;
    pub use circular::prelude::*;
    pub use college::prelude::*;
    pub use layout::prelude::*;
    pub use storage::prelude::*;
    pub use wicket::prelude::*;
}

pub use desk_line::{DeskLine, DeskTask};
