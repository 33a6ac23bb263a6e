use crate::admin::metrics::Metrics;
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, Rejection};
use crate::downstream::authentication::authorize;
use crate::downstream::limits::SharedLimits;
use config::{KeyDigest, KeyHasher, Plan, RouteTable, TenantTable};
use placement::{Event, Outcome};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use transport::Response;
use types::{ApiKey, Clock, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode};

/// What carriers share.
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
    /// When this process ends, as a moment, once it takes only what will have ended before; [`NEVER`] until then.
    pub ends_at: AtomicU64,
    /// When the last request came, as a moment.
    pub arrived: AtomicU64,
    /// What puts a plan's limits on connections into force; none without a gate of clients.
    pub limits: SharedLimits,
}

/// The moment at which a process ends that was not told to stop.
pub(crate) const NEVER: u64 = u64::MAX;

/// A plan, and what finds things in it.
#[derive(Clone)]
pub(crate) struct PlanInForce {
    plan: Arc<Plan>,
    pub routes: Arc<RouteTable>,
    pub tenants: Arc<TenantTable>,
}

/// A place among the requests in hand; given back when dropped, together with the request's id.
pub(crate) struct Place {
    pub shared: Arc<Shared>,
    pub request: RequestId,
    pub number: u64,
    /// Whether a server may have run it: a second request of its id is then told so.
    pub may_have_run: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.metrics.in_hand.fetch_sub(1, Ordering::Relaxed);
        let (request, number, may_have_run) =
            (self.request.clone(), self.number, self.may_have_run);
        self.shared.tell(NodeInput::Close {
            request,
            number,
            may_have_run,
        });
    }
}

impl Shared {
    /// Of a node that may act without end, and takes this many requests at once.
    pub fn detached(control: flume::Sender<ControlEvent>, bound: u64) -> Self {
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
            ends_at: AtomicU64::new(NEVER),
            arrived: AtomicU64::new(0),
            limits: SharedLimits::new(),
        }
    }
    pub fn tell(&self, input: NodeInput) {
        let _ = self.control.send(ControlEvent::Input(input));
    }
    pub fn tell_ended(&self, request: &RequestId, outcome: Outcome) {
        self.tell(NodeInput::Event(Event::Ended {
            request: request.clone(),
            outcome,
        }));
    }
    pub fn may_act(&self) -> bool {
        Clock::now() < MonotonicInstant(self.may_act_until.load(Ordering::SeqCst))
    }
    /// Whether a request that may last until then will have ended before this process does.
    pub fn ends_in_time(&self, deadline: MonotonicInstant) -> bool {
        deadline.0 <= self.ends_at.load(Ordering::SeqCst)
    }
    /// Whether what was placed under this epoch may leave now: a newer one may allow it no more.
    pub fn may_leave(&self, epoch: ConfigEpoch) -> bool {
        self.may_act() && !self.is_superseded(epoch)
    }
    /// Whether this node holds a newer epoch.
    pub fn is_superseded(&self, epoch: ConfigEpoch) -> bool {
        ConfigEpoch(self.epoch.load(Ordering::SeqCst)) > epoch
    }
    /// Asks the control thread; `None` is its silence.
    pub fn ask_control<T>(
        &self,
        input: NodeInput,
        wrap: impl FnOnce(NodeInput, flume::Sender<Result<T, Rejection>>) -> ControlEvent,
    ) -> Option<Result<T, Rejection>> {
        let (response, inbox) = flume::bounded(1);
        let _ = self.control.send(wrap(input, response));
        inbox.recv_timeout(Duration::from_secs(2)).ok()
    }
    pub fn ask_scheduler(&self, place: &Place, input: NodeInput) -> Result<Placement, Rejection> {
        let service = match &input {
            NodeInput::Place(ask) => Some(ask.service.clone()),
            _ => None,
        };
        let outcome = self
            .ask_control(input, ControlEvent::Place)
            .unwrap_or_else(|| {
                // Should it be placed after all, it has ended by then: it is never sent. A denial ends nothing:
                // another request of this id may be in hand.
                self.tell_ended(&place.request, Outcome::Refused);
                Err(silence())
            });
        // Before a connection to that server is opened.
        if let (Some(limits), Some(service), Ok(placing)) = (self.limits.get(), service, &outcome)
            && let Ok(address) = placing.address.parse()
        {
            limits.hold(address, &service);
        }
        outcome
    }
    /// Takes up the plan that the control thread holds now.
    pub fn take_plan(&self, plan: Option<&Arc<Plan>>, tenants: &Arc<TenantTable>) {
        let Some(plan) = plan else { return };
        let is_same = |held: &PlanInForce| Arc::ptr_eq(&held.plan, plan);
        if !self
            .plan
            .read()
            .expect("no thread panics with it")
            .as_ref()
            .is_some_and(is_same)
        {
            let (plan, routes, tenants) =
                (plan.clone(), Arc::new(plan.route_table()), tenants.clone());
            let held = PlanInForce {
                plan: plan.clone(),
                routes,
                tenants,
            };
            *self.plan.write().expect("no thread panics with it") = Some(held);
            self.limits
                .get()
                .into_iter()
                .for_each(|limits| limits.take_plan(&plan));
        }
    }
    /// Takes up a plan where no control thread holds one.
    pub fn take_detached_plan(&self, plan: &Arc<Plan>) {
        let tenants = TenantTable::new(&plan.tenants, KeyHasher::draw());
        self.take_plan(Some(plan), &Arc::new(tenants));
    }
    /// So many nodes share the servers.
    pub fn take_members(&self, count: usize) {
        self.limits
            .get()
            .into_iter()
            .for_each(|limits| limits.take_members(count));
    }
    /// Whether no request has come for a while.
    pub fn is_quiet(&self, now: MonotonicInstant) -> bool {
        now.since(MonotonicInstant(self.arrived.load(Ordering::Relaxed))) >= Milliseconds(1200)
    }
    /// The plan in force here.
    pub fn plan_in_force(&self) -> Option<PlanInForce> {
        self.plan.read().expect("no thread panics with it").clone()
    }
    /// What stands for the key of a request of the own interface, none of which is public; `None`: the plan has no
    /// tenants, or there is no plan yet, which the control thread tells.
    pub fn authorize(&self, api_key: Option<&ApiKey>) -> Result<Option<KeyDigest>, Rejection> {
        let Some(plan) = self.plan_in_force() else {
            return Ok(None);
        };
        authorize(&plan.tenants, false, api_key)
            .map(|credentials| credentials.map(|tenant| tenant.key))
    }
    /// A number for a request, that no other has in this life.
    pub fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }
    /// Takes a place among the requests in hand, if there is one.
    pub fn take_place(self: &Arc<Self>, request: RequestId, number: u64) -> Option<Place> {
        if self.metrics.in_hand.fetch_add(1, Ordering::Relaxed) >= self.bound {
            self.metrics.in_hand.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(Place {
            shared: self.clone(),
            request,
            number,
            may_have_run: false,
        })
    }
    pub fn refusal(&self, code: ResultCode, why: String, retry_after: Milliseconds) -> Response {
        self.metrics.refuse(code);
        Response::result_after(code, why, retry_after)
    }
}

/// The control thread gave no answer in time.
pub(crate) fn silence() -> Rejection {
    let why = "the control thread gave no answer".into();
    Rejection {
        code: ResultCode::Busy,
        why,
        retry_after: Milliseconds(1000),
    }
}
