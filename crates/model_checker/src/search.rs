//! The search through all states that a bounded number of deviations leads to.

use super::cluster::{Cluster, ClusterRules, OpenStep};
use super::deviation::{CutDirection, Deviation, Lateness, Outage, StepFault, TickPlan};
use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// By the default schedule a core comes to rest, or goes round, within so many ticks.
const LONGEST_PATH: usize = 2000;
const OUTAGES: [Outage; 2] = [Outage::Short, Outage::Long];
const LATENESS: [Lateness; 2] = [Lateness::Little, Lateness::Lease];
const DIRECTIONS: [CutDirection; 3] = [
    CutDirection::Both,
    CutDirection::Inward,
    CutDirection::Outward,
];
/// The set of visited states is kept in so many parts, each with its lock.
const SHARDS: usize = 64;

/// How far the search goes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Deviations besides commands.
    pub faults: usize,
    /// Commands proposed.
    pub proposals: usize,
    /// Threads.
    pub threads: usize,
    /// It ends unfinished after so many states.
    pub most_states: u64,
}

/// A run that shows what must never be: the deviations at each tick that has any, from the founded core on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// What was seen.
    pub violation: String,
    /// Ticks with their deviations.
    pub trace: Vec<(usize, TickPlan)>,
}

/// What a search found.
#[derive(Debug)]
pub struct Exploration {
    /// Distinct states between ticks.
    pub states: u64,
    /// Ticks played.
    pub ticks: u64,
    /// Whether all within the limits was visited.
    pub is_complete: bool,
    /// What must never be.
    pub counterexample: Option<Counterexample>,
}

#[derive(Clone)]
struct Node {
    cluster: Cluster,
    tick: usize,
    faults_left: usize,
    proposals_left: usize,
    trace: Vec<(usize, TickPlan)>,
}

struct Search {
    visited: Vec<Mutex<HashSet<u64>>>,
    states: AtomicU64,
    ticks: AtomicU64,
    most_states: u64,
    is_over: AtomicBool,
    found: Mutex<Option<Counterexample>>,
}

/// Visits each state within the limits, or ends at the first that must never be.
pub fn explore(rules: &ClusterRules, limits: Limits) -> Exploration {
    let search = Search {
        visited: (0..SHARDS).map(|_| Mutex::default()).collect(),
        states: AtomicU64::new(0),
        ticks: AtomicU64::new(0),
        most_states: limits.most_states,
        is_over: AtomicBool::new(false),
        found: Mutex::new(None),
    };
    let root = Node {
        cluster: Cluster::founded(rules),
        tick: 0,
        faults_left: limits.faults,
        proposals_left: limits.proposals,
        trace: vec![],
    };
    let (sender, jobs) = flume::unbounded();
    search.follow(root, &mut |node| {
        let _ = sender.send(node);
    });
    drop(sender);
    std::thread::scope(|scope| {
        for _ in 0..limits.threads.max(1) {
            scope.spawn(|| jobs.iter().for_each(|node| search.follow_all(node)));
        }
    });
    let counterexample = search.found.into_inner().unwrap_or_default();
    Exploration {
        states: search.states.into_inner(),
        ticks: search.ticks.into_inner(),
        is_complete: counterexample.is_none() && !search.is_over.into_inner(),
        counterexample,
    }
}

impl Search {
    fn is_new(&self, fingerprint: u64) -> bool {
        let shard = &self.visited[fingerprint as usize % SHARDS];
        shard
            .lock()
            .is_ok_and(|mut visited| visited.insert(fingerprint))
    }

    /// This node's path by the default schedule, and all that branches off it, depth first.
    fn follow_all(&self, node: Node) {
        self.follow(node, &mut |branch| self.follow_all(branch));
    }

    /// This node's path; hands on what branches off it.
    fn follow(&self, mut node: Node, branch: &mut dyn FnMut(Node)) {
        let mut path: HashMap<u64, usize> = HashMap::new();
        let mut last_readable = None;
        for place in 0..LONGEST_PATH {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            if node.cluster.may_respond() {
                last_readable = Some(place);
            }
            let fingerprint = node
                .cluster
                .fingerprint(node.faults_left, node.proposals_left);
            if !self.is_new(fingerprint) {
                let since = path.get(&fingerprint);
                if since.is_some_and(|since| last_readable.is_none_or(|at| at < *since)) {
                    self.report(
                        &node,
                        "the core goes round and nobody may ever answer".into(),
                    );
                }
                return;
            }
            path.insert(fingerprint, place);
            if self.states.fetch_add(1, Ordering::Relaxed) >= self.most_states {
                self.is_over.store(true, Ordering::Relaxed);
            }
            self.branch_off(&node, branch);
            node = match self.tick(node, vec![]) {
                Some((node, _)) => node,
                None => return,
            };
        }
        self.report(&node, "the core comes to no rest".into());
    }

    fn report(&self, node: &Node, violation: String) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Ok(mut found) = self.found.lock() {
            found.get_or_insert(Counterexample {
                violation,
                trace: node.trace.clone(),
            });
        }
    }

    fn tick(&self, mut node: Node, plan: TickPlan) -> Option<(Node, Vec<OpenStep>)> {
        self.ticks.fetch_add(1, Ordering::Relaxed);
        let open = node.cluster.tick(&plan);
        node.tick += 1;
        if !plan.is_empty() {
            node.trace.push((node.tick, plan));
        }
        if let Some(violation) = node.cluster.violation() {
            self.report(&node, format!("tick {}: {violation}", node.tick));
            return None;
        }
        Some((node, open))
    }

    /// Each set of deviations in this tick.
    fn branch_off(&self, node: &Node, branch: &mut dyn FnMut(Node)) {
        if node.faults_left + node.proposals_left > 0 {
            self.extend(node, vec![], branch);
        }
    }

    fn extend(&self, node: &Node, plan: TickPlan, branch: &mut dyn FnMut(Node)) {
        if self.is_over.load(Ordering::Relaxed) {
            return;
        }
        let proposals = plan
            .iter()
            .filter(|deviation| deviation.is_proposal())
            .count();
        let faults = plan.len() - proposals;
        let mut after = node.clone();
        after.faults_left -= faults;
        after.proposals_left -= proposals;
        let (faults_left, proposals_left) = (after.faults_left, after.proposals_left);
        let Some((after, open)) = self.tick(after, plan.clone()) else {
            return;
        };
        if !plan.is_empty() {
            branch(after);
        }
        if faults_left + proposals_left == 0 {
            return;
        }
        for deviation in later_deviations(&node.cluster, &plan, &open) {
            let left = if deviation.is_proposal() {
                proposals_left
            } else {
                faults_left
            };
            if left > 0 {
                let mut longer = plan.clone();
                longer.push(deviation);
                self.extend(node, longer, branch);
            }
        }
    }
}

/// What may still be added to a tick's plan, so that each set of deviations comes up once.
pub(crate) fn later_deviations(
    cluster: &Cluster,
    plan: &TickPlan,
    open: &[OpenStep],
) -> Vec<Deviation> {
    let last = plan.last();
    let mut found = vec![];
    if !matches!(last, Some(Deviation::AtStep { .. })) {
        let starts = at_start(cluster);
        let first = last
            .and_then(|last| starts.iter().position(|other| other == last))
            .map_or(0, |at| at + 1);
        found.extend(
            starts
                .into_iter()
                .skip(first)
                .filter(|deviation| cluster.allows(deviation)),
        );
    }
    let next = match last {
        Some(Deviation::AtStep { index, .. }) => index + 1,
        _ => 0,
    };
    for (index, step) in open.iter().enumerate().skip(next) {
        found.extend(
            at_step(*step)
                .into_iter()
                .map(|fault| Deviation::AtStep { index, fault }),
        );
    }
    found
}

/// Deviations at the start of a tick, commands first.
fn at_start(cluster: &Cluster) -> Vec<Deviation> {
    let machines = 0..cluster.machine_count();
    let mut found = vec![];
    for operator in 1..3 {
        found.extend(
            machines
                .clone()
                .map(|via| Deviation::Propose { operator, via }),
        );
    }
    for place in machines {
        found.push(Deviation::PlannedReplace(place));
        found.push(Deviation::PlannedRestart(place));
        found.push(Deviation::Crash(place, Outage::Brief));
        for outage in OUTAGES {
            found.push(Deviation::Crash(place, outage));
            found.push(Deviation::Wipe(place, outage));
            found.push(Deviation::Replace(place, outage));
            found.push(Deviation::Pause(place, outage));
            found.extend(DIRECTIONS.map(|direction| Deviation::Cut(place, direction, outage)));
        }
    }
    found
}

fn at_step(step: OpenStep) -> Vec<StepFault> {
    match step {
        OpenStep::Message(_) => {
            let mut found = vec![StepFault::Lose];
            found.extend(LATENESS.map(StepFault::Delay));
            found.extend(LATENESS.map(StepFault::Repeat));
            found
        }
        OpenStep::Write(_) => {
            let mut found: Vec<StepFault> = OUTAGES.map(StepFault::CrashBeforeSync).into();
            found.extend(OUTAGES.map(StepFault::CrashAfterSync));
            found
        }
    }
}
