//! The clients of a soak: some with a connection for each request, some that go on using theirs until it ends.

use loadgen::{
    LoadTest, LoadTestConfig, Outcome, PersistentClient, RequestRecord, Workload, WorkloadKind,
};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use types::{Address, Milliseconds};

/// The factor on the deployment's rates for clients with a connection for each request.
const SCALE: f64 = 0.2;
/// Requests of these in flight at most.
const MAX_IN_FLIGHT: usize = 200;
/// Clients with an open connection to each router.
const PERSISTENT_PER_ROUTER: usize = 2;
/// Such clients at most.
const MAX_PERSISTENT: usize = 48;
/// The pause of such a client between two requests.
const PAUSE: Duration = Duration::from_millis(30);
/// Longer than any soak.
const NO_END: Milliseconds = Milliseconds::seconds(100_000);

/// Who sends what.
pub(super) struct ClientRules {
    seed: u64,
    routers: Vec<Address>,
}

impl ClientRules {
    pub(super) fn new(seed: u64, routers: Vec<Address>) -> Self {
        ClientRules { seed, routers }
    }
}

/// What all clients saw.
#[derive(Debug, Default)]
pub(super) struct ClientRecords {
    pub all: Vec<RequestRecord>,
    /// Connections that the clients opened which go on using theirs.
    pub connections: u64,
}

impl ClientRecords {
    /// How often each outcome came.
    pub(super) fn outcomes(&self) -> BTreeMap<&'static str, u64> {
        let mut outcomes = BTreeMap::new();
        for record in &self.all {
            let name = match record.outcome {
                Outcome::Complete => "complete",
                Outcome::Refused(_) => "refused",
                Outcome::Broken => "broken",
                Outcome::Unknown(_) => "unknown",
            };
            *outcomes.entry(name).or_default() += 1;
        }
        outcomes
    }
}

#[derive(Debug, Default)]
struct Shared {
    is_stopped: AtomicBool,
    complete: AtomicU64,
    others: AtomicU64,
    persistent: Mutex<ClientRecords>,
}

/// The clients' threads.
pub(super) struct Clients {
    shared: Arc<Shared>,
    stop_load: Arc<AtomicBool>,
    load: JoinHandle<Vec<RequestRecord>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub(super) fn start(rules: &ClientRules) -> Clients {
        let shared = Arc::<Shared>::default();
        let config = LoadTestConfig {
            routers: rules.routers.clone(),
            span: NO_END,
            scale: SCALE,
            max_in_flight: MAX_IN_FLIGHT,
        };
        let test = LoadTest::new(Workload::new(WorkloadKind::Pahana, rules.seed), config);
        let stop_load = test.stop();
        let load = std::thread::spawn(move || test.run().0);
        let count = (rules.routers.len() * PERSISTENT_PER_ROUTER).min(MAX_PERSISTENT);
        let threads = (0..count)
            .map(|number| {
                let router = rules.routers[number % rules.routers.len()];
                // No other client of any soak has this seed.
                let seed = rules.seed << 16 | (1 + number as u64);
                let shared = shared.clone();
                std::thread::spawn(move || send_on_one_connection(router, seed, &shared))
            })
            .collect();
        Clients {
            shared,
            stop_load,
            load,
            threads,
        }
    }

    /// One line about the clients that go on using their connections.
    pub(super) fn progress(&self) -> String {
        format!(
            "{} requests complete on open connections, {} not",
            self.shared.complete.load(Ordering::Relaxed),
            self.shared.others.load(Ordering::Relaxed)
        )
    }

    /// Ends the clients once each has its last answer.
    pub(super) fn stop(self) -> ClientRecords {
        self.stop_load.store(true, Ordering::Relaxed);
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no client panics");
        }
        let mut records = std::mem::take(&mut *lock(&self.shared.persistent));
        records.all.extend(self.load.join().expect("no panic"));
        records
    }
}

fn lock(records: &Mutex<ClientRecords>) -> std::sync::MutexGuard<'_, ClientRecords> {
    records.lock().unwrap_or_else(PoisonError::into_inner)
}

fn send_on_one_connection(router: Address, seed: u64, shared: &Shared) {
    let mut workload = Workload::new(WorkloadKind::Pahana, seed);
    let mut client = PersistentClient::new(router);
    while !shared.is_stopped.load(Ordering::Relaxed) {
        let (_, planned) = workload.next(0.0, 1.0);
        let record = client.send(&planned);
        let counter = if record.outcome == Outcome::Complete {
            &shared.complete
        } else {
            &shared.others
        };
        counter.fetch_add(1, Ordering::Relaxed);
        lock(&shared.persistent).all.push(record);
        std::thread::sleep(PAUSE);
    }
    lock(&shared.persistent).connections += client.connections();
}
