//! An open-loop load test: requests arrive whether or not earlier ones were answered.

use crate::client::{RequestRecord, send_planned};
use crate::workload::{PlannedRequest, Workload};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use types::{Address, Milliseconds};

/// Bytes of the stack of a client's thread.
const CLIENT_STACK_BYTES: usize = 256 << 10;

/// What a load test sends, and where.
#[derive(Debug, Clone)]
pub struct LoadTestConfig {
    /// The listening addresses of the routers, used in turn.
    pub routers: Vec<Address>,
    /// How long requests are sent.
    pub span: Milliseconds,
    /// The factor on the workload's rates.
    pub scale: f64,
    /// Requests in flight at most; those beyond are not sent and counted as late.
    pub max_in_flight: usize,
}

/// A load test that has yet to run.
pub struct LoadTest {
    workload: Workload,
    config: LoadTestConfig,
    stop: Arc<AtomicBool>,
}

impl LoadTest {
    /// Returns a load test with this workload.
    pub fn new(workload: Workload, config: LoadTestConfig) -> Self {
        LoadTest {
            workload,
            config,
            stop: Arc::default(),
        }
    }
    /// Returns the flag that ends the load test early once it's set.
    pub fn stop(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }
    /// Sends all requests and waits for the responses; returns the requests and how many could not be sent in
    /// time.
    pub fn run(mut self) -> (Vec<RequestRecord>, u64) {
        let (results_sender, results) = flume::unbounded();
        let mut senders = ClientThreads {
            routers: Arc::new(self.config.routers.clone()),
            max_in_flight: self.config.max_in_flight,
            in_flight: Arc::default(),
            results: results_sender,
            started: 0,
        };
        let began = Instant::now();
        let (mut at_ms, mut late) = (0.0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            let (gap_ms, planned) = self.workload.next(at_ms, self.config.scale);
            at_ms += gap_ms;
            if at_ms >= self.config.span.0 as f64 {
                break;
            }
            let deadline = began + Duration::from_secs_f64(at_ms / 1000.0);
            std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
            if !senders.start(planned) {
                late += 1;
            }
        }
        drop(senders);
        (results.iter().collect(), late)
    }
}

/// Sends each request on a thread of its own.
struct ClientThreads {
    routers: Arc<Vec<Address>>,
    max_in_flight: usize,
    in_flight: Arc<AtomicUsize>,
    results: flume::Sender<RequestRecord>,
    /// Requests started, by which the routers take turns.
    started: usize,
}

impl ClientThreads {
    /// Starts a request; returns whether that was possible.
    fn start(&mut self, planned: PlannedRequest) -> bool {
        let in_flight_before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let permit = InFlightPermit(self.in_flight.clone());
        if in_flight_before >= self.max_in_flight {
            return false;
        }
        self.started += 1;
        let (routers, results, first) = (self.routers.clone(), self.results.clone(), self.started);
        let spawned = std::thread::Builder::new()
            .name("asker".into())
            .stack_size(CLIENT_STACK_BYTES)
            .spawn(move || {
                let _permit = permit;
                let _ = results.send(send_planned(&planned, &routers, first));
            });
        spawned.is_ok()
    }
}

/// The count of one request in flight. Dropping it gives the place back, also when no thread could be started.
struct InFlightPermit(Arc<AtomicUsize>);

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
