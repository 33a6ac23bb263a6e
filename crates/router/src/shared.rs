//! The state that the threads which serve requests share with the control thread.

use crate::admin::metrics::Metrics;
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection};
use crate::control::response_channel::{ResponseSender, response_channel};
use crate::downstream::authentication::authenticate;
use crate::downstream::limits::SharedLimits;
use crate::suspension::SuspensionMonitor;
use config::{KeyDigest, KeyHasher, Plan, RouteTable, TenantTable};
use placement::{Event, Outcome};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use transport::Response;
use types::{ApiKey, Clock, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode};

/// What the threads that serve requests share with the control thread.
pub(crate) struct Shared {
    pub control: flume::Sender<ControlEvent>,
    pub may_act_until: AtomicU64,
    /// The newest epoch that this node holds.
    pub epoch: AtomicU64,
    pub metrics: Metrics,
    pub number: AtomicU64,
    pub bound: u64,
    pub block_bytes: usize,
    pub stall: Milliseconds,
    /// The plan in force, and what finds its routes and tenants.
    pub plan: RwLock<Option<PlanInForce>>,
    /// Whether clients should be sent here.
    pub is_ready: AtomicBool,
    /// Whether the settings name a controller.
    pub has_seeds: AtomicBool,
    /// When this process ends, as a moment, once it takes only what will have ended before; [`NEVER`] until then.
    pub exits_at: AtomicU64,
    /// When the last request came, as a moment.
    pub last_arrival: AtomicU64,
    /// How long a request may have waited unread.
    pub suspension: SuspensionMonitor,
    /// What puts a plan's limits on connections into force; none without an ingress.
    pub limits: SharedLimits,
}

/// How long a thread that serves a request waits for the control thread.
const CONTROL_TIMEOUT: Milliseconds = Milliseconds::seconds(2);

/// The moment at which a process ends that was not told to stop.
pub(crate) const NEVER: u64 = u64::MAX;

/// A plan, and what finds things in it.
#[derive(Clone)]
pub(crate) struct PlanInForce {
    plan: Arc<Plan>,
    pub routes: Arc<RouteTable>,
    pub tenants: Arc<TenantTable>,
}

impl Shared {
    /// Of a node that may act without end, and takes this many requests at once.
    pub(crate) fn detached(control: flume::Sender<ControlEvent>, bound: u64) -> Self {
        Shared {
            control,
            may_act_until: AtomicU64::new(u64::MAX),
            epoch: AtomicU64::new(1),
            metrics: Metrics::default(),
            number: AtomicU64::new(1),
            bound,
            block_bytes: 64,
            stall: Milliseconds(10_000),
            plan: RwLock::default(),
            is_ready: AtomicBool::new(true),
            has_seeds: AtomicBool::new(true),
            exits_at: AtomicU64::new(NEVER),
            last_arrival: AtomicU64::new(0),
            suspension: SuspensionMonitor::without_control_thread(),
            limits: SharedLimits::new(),
        }
    }
    /// Sends an input to the control thread without waiting.
    pub(crate) fn notify_control(&self, input: NodeInput) {
        let _ = self.control.send(ControlEvent::Input(input));
    }
    /// Reports the outcome of an attempt to the scheduler.
    pub(crate) fn report_outcome(&self, request: &RequestId, outcome: Outcome) {
        self.notify_control(NodeInput::Event(Event::Ended {
            request: request.clone(),
            outcome,
        }));
    }
    /// Whether this node holds a lease at this moment.
    pub(crate) fn may_act(&self) -> bool {
        Clock::now() < MonotonicInstant(self.may_act_until.load(Ordering::SeqCst))
    }
    /// Whether a request that may last until then will have ended before this process does.
    pub(crate) fn ends_in_time(&self, deadline: MonotonicInstant) -> bool {
        deadline.0 <= self.exits_at.load(Ordering::SeqCst)
    }
    /// The epoch fence: whether what was placed under this epoch may be sent now. A newer epoch may no longer allow it.
    pub(crate) fn may_send(&self, epoch: ConfigEpoch) -> bool {
        self.may_act() && !self.is_superseded(epoch)
    }
    /// Whether this node holds a newer epoch.
    pub(crate) fn is_superseded(&self, epoch: ConfigEpoch) -> bool {
        ConfigEpoch(self.epoch.load(Ordering::SeqCst)) > epoch
    }
    /// Sends an input to the control thread and waits for its answer. If none comes within [`CONTROL_TIMEOUT`],
    /// the input is never applied, or what it led to is undone.
    ///
    /// # Errors
    ///
    /// The answer's, or [`ResultCode::Busy`] if there was none.
    pub(crate) fn call_control<T>(
        &self,
        input: NodeInput,
        wrap: impl FnOnce(NodeInput, ResponseSender<Result<T, Rejection>>) -> ControlEvent,
    ) -> Result<T, Rejection> {
        let (sender, receiver) = response_channel();
        let _ = self.control.send(wrap(input, sender));
        receiver
            .wait(CONTROL_TIMEOUT)
            .unwrap_or_else(|| Err(control_timeout()))
    }
    /// Has the scheduler place a request.
    ///
    /// Errors: the scheduler's rejection, or [`ResultCode::Busy`] when the control thread gives no answer in time.
    pub(crate) fn place(&self, request: PlacementRequest) -> Result<Placement, Rejection> {
        let service = request.service.clone();
        let outcome = self.call_control(NodeInput::Place(request), ControlEvent::Place);
        // Before a connection to that server is opened.
        if let (Some(limits), Ok(placement)) = (self.limits.get(), &outcome)
            && let Ok(address) = placement.address.parse()
        {
            limits.limit_connections(address, &service);
        }
        outcome
    }
    /// Installs the plan that the control thread has now.
    pub(crate) fn install_plan(&self, plan: Option<&Arc<Plan>>, tenants: &Arc<TenantTable>) {
        let Some(plan) = plan else { return };
        let is_same = |in_force: &PlanInForce| Arc::ptr_eq(&in_force.plan, plan);
        if !self
            .plan
            .read()
            .expect("no thread panics with it")
            .as_ref()
            .is_some_and(is_same)
        {
            let (plan, routes, tenants) =
                (plan.clone(), Arc::new(plan.route_table()), tenants.clone());
            let in_force = PlanInForce {
                plan: plan.clone(),
                routes,
                tenants,
            };
            *self.plan.write().expect("no thread panics with it") = Some(in_force);
            self.limits
                .get()
                .into_iter()
                .for_each(|limits| limits.apply_plan(&plan));
        }
    }
    /// Installs a plan where there is no control thread.
    pub(crate) fn install_detached_plan(&self, plan: &Arc<Plan>) {
        let tenants = TenantTable::new(&plan.tenants, KeyHasher::draw());
        self.install_plan(Some(plan), &Arc::new(tenants));
    }
    /// Sets how many nodes share the servers.
    pub(crate) fn set_member_count(&self, count: usize) {
        self.limits
            .get()
            .into_iter()
            .for_each(|limits| limits.set_member_count(count));
    }
    /// Whether no request has come for a while.
    pub(crate) fn is_quiet(&self, now: MonotonicInstant) -> bool {
        now.since(MonotonicInstant(self.last_arrival.load(Ordering::Relaxed))) >= Milliseconds(1200)
    }
    /// The plan in force here.
    pub(crate) fn plan_in_force(&self) -> Option<PlanInForce> {
        self.plan.read().expect("no thread panics with it").clone()
    }
    /// What stands for the key of a request of the own interface, none of which is public; `None`: the plan has no
    /// tenants, or there is no plan yet, which the control thread tells.
    pub(crate) fn authenticate(
        &self,
        api_key: Option<&ApiKey>,
    ) -> Result<Option<KeyDigest>, Rejection> {
        let Some(plan) = self.plan_in_force() else {
            return Ok(None);
        };
        authenticate(&plan.tenants, false, api_key)
            .map(|credentials| credentials.map(|tenant| tenant.key))
    }
    /// What probes are told.
    pub(crate) fn readiness(&self) -> Response {
        let (status, text) = if self.is_ready.load(Ordering::SeqCst) {
            (200, "ready\n")
        } else if self.has_seeds.load(Ordering::SeqCst) {
            (503, "not ready\n")
        } else {
            (503, "not ready: the settings name no seed\n")
        };
        Response::complete(status, "text/plain", text)
    }
    /// A number for a request, that no other has in this incarnation.
    pub(crate) fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }
    /// Rejects a request of the router's own interface.
    pub(crate) fn reject(&self, rejection: Rejection) -> Response {
        self.metrics.refuse(rejection.code);
        Response::result_after(rejection.code, rejection.why, rejection.retry_after)
    }
}

/// The control thread gave no answer in time.
fn control_timeout() -> Rejection {
    let why = "the control thread gave no answer".into();
    Rejection {
        code: ResultCode::Busy,
        why,
        retry_after: Milliseconds(1000),
    }
}
