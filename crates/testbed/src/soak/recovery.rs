//! What is there again once all troubles have ended.

use crate::fleet::{Daemon, Fleet};
use crate::soak::operators::{AcceptedPlan, OperatorRecords, call};
use loadgen::{Outcome, Workload, WorkloadKind, send_planned};
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// Service is back within this, once all machines are.
pub(super) const RECOVERY_BOUND: Milliseconds = Milliseconds::seconds(12);
/// How long it is waited for, to tell how late it is.
const RECOVERY_TIMEOUT: Milliseconds = Milliseconds::seconds(40);
/// Draws requests that no client of a soak has sent.
const PROBE_SEED: u64 = 0x50a4;

/// What is there again.
#[derive(Debug)]
pub(super) struct Recovery {
    /// How long after the end of all troubles a request was complete.
    pub service: Result<Milliseconds, String>,
    /// How long after it the core answered, and with what became of the plans.
    pub core: Result<Milliseconds, String>,
    /// Plans that were looked for.
    pub plans: u64,
    /// Plans that were accepted and are not there as they were accepted.
    pub lost_plans: Vec<String>,
}

impl Recovery {
    /// When service was back, in ms after all troubles.
    pub(super) fn service_ms(&self) -> Option<u64> {
        self.service.as_ref().ok().map(|time| time.0)
    }
}

/// Waits until service and core are back, and looks for every accepted plan.
pub(super) fn measure(fleet: &Fleet, operators: &OperatorRecords) -> Recovery {
    let begun = Clock::now();
    let service = await_service(fleet);
    let core = await_core(fleet, begun);
    let controllers: Vec<Address> = fleet.controllers.iter().map(|one| one.listen).collect();
    let lost_plans = operators
        .accepted
        .iter()
        .filter_map(|plan| missing(plan, &controllers))
        .collect();
    Recovery {
        service,
        core,
        plans: operators.accepted.len() as u64,
        lost_plans,
    }
}

/// Waits until a request is complete; only the time counts, the requests of clients are judged elsewhere.
fn await_service(fleet: &Fleet) -> Result<Milliseconds, String> {
    let routers = fleet.clients_addresses();
    let mut workload = Workload::new(WorkloadKind::Pahana, PROBE_SEED);
    let mut first = 0;
    Fleet::await_that(RECOVERY_TIMEOUT, "a request complete again", || {
        first += 1;
        let (_, planned) = workload.next(0.0, 1.0);
        send_planned(&planned, &routers, first).outcome == Outcome::Complete
    })
}

fn await_core(fleet: &Fleet, begun: MonotonicInstant) -> Result<Milliseconds, String> {
    Fleet::await_that(RECOVERY_TIMEOUT, "a controller that answers", || {
        fleet.controllers.iter().any(Daemon::is_ready)
    })?;
    Ok(Clock::now().since(begun))
}

/// What is wrong with an accepted plan now.
fn missing(plan: &AcceptedPlan, controllers: &[Address]) -> Option<String> {
    let path = format!("/v1/fates/{}", plan.id);
    let mut found = None;
    let answered = Fleet::await_that(RECOVERY_BOUND, "what became of a plan", || {
        found = controllers.iter().find_map(|controller| {
            call(*controller, "GET", &path, vec![]).filter(|(status, _)| *status == 200)
        });
        found.is_some()
    });
    let (id, epoch) = (&plan.id, plan.epoch);
    match (answered, found) {
        (Ok(_), Some((_, value))) if value["epoch"].as_u64() == Some(epoch) => None,
        (Ok(_), Some((_, value))) => {
            Some(format!("{id} was accepted as epoch {epoch}, now {value}"))
        }
        _ => Some(format!(
            "{id} was accepted as epoch {epoch}, and no controller knows it"
        )),
    }
}
