//! The operators of a soak: they send plans to any controller, and again where no clear answer came.

use crate::fleet::{Fleet, plan_of};
use placement::mix;
use serde_json::Value;
use simulator::Deployment;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use transport::{http_request, read_all};
use types::{Address, Milliseconds};

/// How long an operator waits for an answer before the same is sent again.
const PATIENCE: Milliseconds = Milliseconds::seconds(2);
/// How often the same is sent at most.
const MAX_SENDS: usize = 4;
/// Bytes of an answer at most.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A plan of which an operator was told that it's accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AcceptedPlan {
    pub id: String,
    pub epoch: u64,
    pub plan: String,
}

/// What the operators were told.
#[derive(Debug, Default)]
pub(super) struct OperatorRecords {
    pub accepted: Vec<AcceptedPlan>,
    pub refused: u64,
    pub unknown: u64,
}

impl OperatorRecords {
    /// How often a plan was accepted, refused, and without a clear answer.
    pub(super) fn summary(&self) -> BTreeMap<&'static str, u64> {
        BTreeMap::from([
            ("accepted", self.accepted.len() as u64),
            ("refused", self.refused),
            ("unknown", self.unknown),
        ])
    }
}

/// The operators' thread.
pub(super) struct Operators {
    is_stopped: Arc<AtomicBool>,
    accepted: Arc<AtomicU64>,
    records: Arc<Mutex<OperatorRecords>>,
    thread: JoinHandle<()>,
}

impl Operators {
    /// Starts them; the plan in force has this epoch.
    pub(super) fn start(seed: u64, fleet: &Fleet, epoch: u64) -> Operators {
        let is_stopped = Arc::<AtomicBool>::default();
        let records = Arc::<Mutex<OperatorRecords>>::default();
        let accepted = Arc::<AtomicU64>::default();
        let mut operator = Operator {
            seed,
            draws: 0,
            number: 0,
            epoch,
            controllers: fleet.controllers.iter().map(|one| one.listen).collect(),
            records: records.clone(),
            accepted: accepted.clone(),
        };
        let stop = is_stopped.clone();
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                operator.send_plan();
                let pause = 100 + operator.below(700);
                std::thread::sleep(Duration::from_millis(pause));
            }
        });
        Operators {
            is_stopped,
            accepted,
            records,
            thread,
        }
    }

    /// One line about them.
    pub(super) fn progress(&self) -> String {
        format!("{} plans accepted", self.accepted.load(Ordering::Relaxed))
    }

    /// Ends them; gives what they were told.
    pub(super) fn stop(self) -> OperatorRecords {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("no operator panics");
        std::mem::take(&mut *self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Operator {
    seed: u64,
    draws: u64,
    number: u64,
    /// The newest epoch that the operator knows of.
    epoch: u64,
    controllers: Vec<Address>,
    records: Arc<Mutex<OperatorRecords>>,
    accepted: Arc<AtomicU64>,
}

/// What a controller made of a plan.
enum Answer {
    Accepted(u64),
    Refused,
    Unclear,
}

impl Operator {
    fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        mix(mix(self.seed ^ 0x0b5e_55ed) ^ mix(self.draws)) % bound
    }

    /// Sends a plan until there is a clear answer, each time to another controller.
    fn send_plan(&mut self) {
        self.number += 1;
        let id = format!("soak-{}-{}", self.seed, self.number);
        let mut plan: Value =
            serde_json::from_str(&plan_of(Deployment::Pahana, true)).expect("a plan is JSON");
        plan["note"] = id.clone().into();
        let plan = plan.to_string();
        let builds_on = self.epoch;
        for _ in 0..MAX_SENDS {
            let place = self.below(self.controllers.len() as u64) as usize;
            let path = format!("/v1/plan?id={id}&builds_on={builds_on}");
            match put(self.controllers[place], &path, &plan) {
                Answer::Accepted(epoch) => {
                    self.epoch = self.epoch.max(epoch);
                    self.accepted.fetch_add(1, Ordering::Relaxed);
                    let accepted = AcceptedPlan { id, epoch, plan };
                    return self.record(|records| records.accepted.push(accepted));
                }
                Answer::Refused => {
                    self.read_epoch();
                    return self.record(|records| records.refused += 1);
                }
                Answer::Unclear => {}
            }
        }
        self.read_epoch();
        self.record(|records| records.unknown += 1);
    }

    fn record(&self, record: impl FnOnce(&mut OperatorRecords)) {
        record(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Looks which epoch is in force.
    fn read_epoch(&mut self) {
        let place = self.below(self.controllers.len() as u64) as usize;
        let latest = call(self.controllers[place], "GET", "/v1/latest", vec![]);
        if let Some((200, value)) = latest {
            self.epoch = value["epoch"]
                .as_u64()
                .unwrap_or(self.epoch)
                .max(self.epoch);
        }
    }
}

fn put(controller: Address, path: &str, plan: &str) -> Answer {
    match call(controller, "PUT", path, plan.as_bytes().to_vec()) {
        Some((200, value)) => value["epoch"]
            .as_u64()
            .map_or(Answer::Unclear, Answer::Accepted),
        Some((409, _)) => Answer::Refused,
        _ => Answer::Unclear,
    }
}

/// Asks a controller; status and JSON of its answer, if one came in time.
pub(super) fn call(
    controller: Address,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let url = format!("http://{controller}{path}");
    let response = http_request(method, &url, body, PATIENCE, PATIENCE).ok()?;
    let status = response.status();
    let body = read_all(response, MAX_ANSWER_BYTES).ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}
