//! What both kinds of controller processes share, with a disk and without: the platform's hooks and the addresses
//! that they listen at.

use crate::admin::control_client::{Attempt, OPERATOR_PATIENCE};
use crate::admin::task::AdminDialect;
use crate::discovery::redirect::ReadAddresses;
use crate::error::StartupError;
use config::{OwnPlans, PlanDialect};
use std::net::TcpListener;
use std::sync::Arc;
use transport::{HttpServer, HttpServerBounds, ListenerBudget, Request, Response};
use types::{Address, Milliseconds};

/// The time between two readings of the settings' seeds.
pub(crate) const SETTINGS_PERIOD: Milliseconds = Milliseconds(1000);
/// The largest body of an operator's request: a complete plan.
const MAX_BODY_BYTES: usize = 48 << 20;
/// The longest that an operator's request may take to arrive.
const READ_TIMEOUT: Milliseconds = Milliseconds::seconds(20);
/// How far an operator's request may count as older than it is, in a process that runs.
const ARRIVAL_CHECK_PERIOD: Milliseconds = Milliseconds(100);

/// How operators and the platform speak to a controller. The default is the product's own interface.
#[derive(Clone)]
pub struct Dialects {
    /// The format of plans.
    pub plans: Arc<dyn PlanDialect>,
    /// The format of operators' calls; `None` serves the product's own interface alone.
    pub admin: Option<Arc<dyn AdminDialect>>,
    /// Where operators reach other controllers, read again for each operator that is redirected; `None` keeps the
    /// addresses that the settings had at the start.
    pub others: Option<ReadAddresses>,
    /// Reads the seeds again, since settings may change without a signal; `None` keeps those of the start.
    pub seeds: Option<ReadSeeds>,
}

/// Returns the inner addresses of the seeds as the settings have them now, or `None` if they can't be read.
pub type ReadSeeds = Arc<dyn Fn() -> Option<Vec<Address>> + Send + Sync>;

impl Dialects {
    /// The attempt that a request on the operators' interface is, with the time-out of whoever sends such a request.
    pub(crate) fn attempt(&self, request: &Request) -> Attempt {
        let body_bytes = request.body.len();
        let timeout = self
            .admin
            .as_ref()
            .map_or(OPERATOR_PATIENCE, |admin| admin.patience(body_bytes));
        Attempt::of_request(request, timeout)
    }
}

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

/// Reads an address of the settings.
pub(crate) fn parse_address(text: &str) -> Result<Address, StartupError> {
    text.parse()
        .map_err(|reason| StartupError::InvalidAddress { reason })
}

/// Binds the address at which other processes of the fleet reach this one.
pub(crate) fn bind_inner(address: Address) -> Result<TcpListener, StartupError> {
    TcpListener::bind(address.0).map_err(|source| StartupError::Bind {
        setting: "inner",
        address,
        source,
    })
}

/// Binds the address at which operators are served.
pub(crate) fn bind_operators(
    address: Address,
    listener_budget: ListenerBudget,
) -> Result<HttpServer, StartupError> {
    let bounds = HttpServerBounds {
        body_bytes: MAX_BODY_BYTES,
        read_timeout: READ_TIMEOUT,
        arrival_check_period: Some(ARRIVAL_CHECK_PERIOD),
        ..HttpServerBounds::default()
    };
    HttpServer::open_within(address.0, bounds, listener_budget).map_err(|source| {
        StartupError::Bind {
            setting: "listen",
            address,
            source,
        }
    })
}

/// Serves operators on threads of their own, for as long as the process runs.
pub(crate) fn spawn_http_server(
    server: HttpServer,
    respond: impl Fn(Request) -> Response + Send + Sync + Clone + 'static,
) -> Result<(), StartupError> {
    std::thread::Builder::new()
        .name("gate".into())
        .spawn(move || server.serve(respond))
        .map(drop)
        .map_err(StartupError::Process)
}
