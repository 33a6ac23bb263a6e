//! What a controller's process has in common, with a disk and without.

use crate::admin::task::AdminDialect;
use crate::discovery::redirect::ReadAddresses;
use config::{OwnPlans, PlanDialect};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use transport::{HttpServer, HttpServerBounds};
use types::{Address, Milliseconds};

/// Between readings of the settings' seeds.
pub(crate) const SETTINGS_PERIOD: Milliseconds = Milliseconds(1000);

/// How operators speak to a controller.
#[derive(Clone)]
pub struct Dialects {
    /// What plans look like.
    pub plans: Arc<dyn PlanDialect>,
    /// What operators' calls look like; `None`: as the product's own interface has them.
    pub admin: Option<Arc<dyn AdminDialect>>,
    /// Where operators reach other controllers, read anew for each operator that is sent on; `None`: as the settings
    /// had it at the start.
    pub others: Option<ReadAddresses>,
    /// Reads the seeds anew: settings may change without a word. `None`: they stay as they were at the start.
    pub seeds: Option<ReadSeeds>,
}

/// Gives the inner addresses of the seeds as the settings have them now, if they can be read.
pub type ReadSeeds = Arc<dyn Fn() -> Option<Vec<Address>> + Send + Sync>;

impl Default for Dialects {
    fn default() -> Self {
        Dialects {
            plans: Arc::new(OwnPlans),
            admin: None,
            others: None,
            seeds: None,
        }
    }
}

/// What a signal to stop sets.
pub(crate) fn stop_flag() -> Result<Arc<AtomicBool>, String> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(|fault| fault.to_string())?;
    }
    // That settings have changed must not end the process. Its seeds are read anew all the time, and the rest of its
    // settings is fixed for its life.
    let has_changed = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, has_changed)
        .map_err(|fault| fault.to_string())?;
    Ok(stop)
}

/// The gate at which operators are served.
pub(crate) fn operators_gate(listen: Address) -> Result<HttpServer, String> {
    let bounds = HttpServerBounds {
        connections: 128,
        body_bytes: 48 << 20,
        read_timeout: Milliseconds::seconds(20),
        ..HttpServerBounds::default()
    };
    HttpServer::open(listen.0, bounds).map_err(|fault| format!("listen = {listen}: {fault}"))
}
