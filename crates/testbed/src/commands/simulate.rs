//! `testbed simulate`: fleets on virtual time, network and disks, with faults drawn from seeds.

use simulator::{Deployment, FaultKind, Mutant, Witness, World, WorldRules};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use types::{Milliseconds, ServiceName};

/// Play fleets on virtual time, network and disks, with faults drawn from seeds, and judge what
/// clients, servers and operators see. Exit codes: 0 nothing that must never be was seen, 1
/// something was.
#[derive(Debug, clap::Args)]
pub(crate) struct SimulateCommand {
    /// Whose.
    #[arg(long, default_value = "pahana")]
    deployment: Deployment,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds from there on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Faults in each run.
    #[arg(long, default_value_t = 8)]
    faults: u64,
    /// Only these kinds.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<FaultKind>,
    /// Requests a second.
    #[arg(long, alias = "orders", default_value_t = 25)]
    requests: u64,
    /// So many routers, in place of the deployment's.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=500))]
    routers: Option<u16>,
    /// Controllers take each other for gone after this many ms.
    #[arg(long)]
    suspect_ms: Option<u64>,
    /// So many controllers, in place of the deployment's.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=9))]
    controllers: Option<u16>,
    /// So many controllers without a disk, which settings may come to name as seeds.
    #[arg(long, value_parser = clap::value_parser!(u16).range(0..=9))]
    relays: Option<u16>,
    /// So many tenants with keys and quotas.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=100))]
    tenants: u64,
    /// Disks that a change is on before it is told as accepted.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=9))]
    copies: Option<u16>,
    /// Operators do something each time after one to six times this many ms; 25 makes hundreds of changes.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    operators_ms: u64,
    /// Who must know a change before it is told as accepted.
    #[arg(long, default_value = "majority")]
    quorum: controller::Quorum,
    /// With a deliberate fault in the system itself.
    #[arg(long)]
    mutant: Option<Mutant>,
}

impl SimulateCommand {
    /// Plays the seeds, some at a time, and prints what was found; whether there was no violation.
    pub(crate) fn run(self) -> bool {
        // A size that is named holds for all seeds.
        let is_swept = self.controllers.is_none() && self.relays.is_none() && self.copies.is_none();
        let seeds = self.seeds;
        let batch = SeedBatch {
            rules: self.rules(),
            seeds,
            is_swept,
            next: AtomicU64::new(self.seed),
            findings: Mutex::default(),
        };
        batch.play_all();
        let findings = batch
            .findings
            .into_inner()
            .expect("no thread panics with it");
        findings.print();
        let violating = findings.violations.len();
        println!("{seeds} seeds, {violating} with violations");
        violating == 0
    }

    fn rules(&self) -> WorldRules {
        let swept = WorldRules::swept(self.deployment, self.seed);
        WorldRules {
            faults: self.faults,
            kinds: self.kinds.clone(),
            mutant: self.mutant,
            routers: self.routers.map(usize::from),
            suspect: self.suspect_ms.map(Milliseconds),
            controllers: self.controllers.map(usize::from),
            relays: self.relays.map_or(swept.relays, usize::from),
            tenants: self.tenants,
            copies: self.copies.map_or(swept.copies, usize::from),
            operators_gap: Milliseconds(self.operators_ms),
            quorum: self.quorum,
            requests_a_second: self.requests,
            ..swept
        }
    }
}

/// The seeds that several threads play.
struct SeedBatch {
    /// The rules of the first seed.
    rules: WorldRules,
    /// Number of seeds.
    seeds: u64,
    /// Whether each seed draws the size of the core.
    is_swept: bool,
    /// The next seed to play.
    next: AtomicU64,
    findings: Mutex<Findings>,
}

impl SeedBatch {
    fn play_all(&self) {
        let threads = std::thread::available_parallelism().map_or(2, |count| count.get()) as u64;
        std::thread::scope(|scope| {
            for _ in 0..threads.min(self.seeds) {
                scope.spawn(|| self.play_remaining());
            }
        });
    }

    fn play_remaining(&self) {
        let end = self.rules.seed + self.seeds;
        loop {
            let seed = self.next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let witness = self.play(seed);
            let _ = writeln!(std::io::stdout(), "seed {seed}: {witness}");
            let mut findings = self.findings.lock().expect("no thread panics with it");
            findings.add_durations(&witness);
            if !witness.violations.is_empty() {
                let text = describe_violations(seed, &witness, self.seeds == 1);
                findings.violations.push(text);
            }
        }
    }

    fn play(&self, seed: u64) -> Witness {
        let rules = WorldRules {
            seed,
            ..self.rules.clone()
        };
        let rules = match self.is_swept {
            true => rules.with_swept_size(),
            false => rules,
        };
        World::new(rules).run()
    }
}

/// What the seeds showed.
#[derive(Default)]
struct Findings {
    /// A text for each seed with violations.
    violations: Vec<String>,
    /// The durations of each kind in milliseconds, of all seeds; and counts, where the name says so.
    durations: BTreeMap<&'static str, Vec<u64>>,
}

impl Findings {
    fn add(&mut self, what: &'static str, values: impl IntoIterator<Item = u64>) {
        self.durations.entry(what).or_default().extend(values);
    }

    fn add_durations(&mut self, witness: &Witness) {
        self.add_changes(witness);
        self.add_recovery(witness);
        let beyond_fifth = |(requests, repeats): &(u64, u64)| repeats.saturating_sub(requests / 5);
        self.add(
            "repeats of a service beyond a fifth (a count)",
            witness.repeats.values().map(beyond_fifth),
        );
        for (service, what) in [
            ("drafts", "first piece of drafts"),
            ("questions", "first piece of questions"),
        ] {
            let found = witness.first_ms.get(&ServiceName::from(service));
            self.add(what, found.into_iter().flatten().copied());
        }
    }

    fn add_changes(&mut self, witness: &Witness) {
        self.add(
            "placed under the epoch before, after \"accepted\"",
            witness.in_force_ms.values().copied(),
        );
        self.add(
            "run in a zone, after its withdrawal was accepted",
            witness.withdrawn_ms.iter().copied(),
        );
        self.add(
            "run at a server, after it was marked as leaving",
            witness.leaving_ms.iter().copied(),
        );
        self.add(
            "command accepted, after it was sent",
            witness.accept_ms.iter().copied(),
        );
    }

    fn add_recovery(&mut self, witness: &Witness) {
        self.add(
            "a change accepted again, after all was healed",
            witness.back_ms.0,
        );
        self.add(
            "all controllers level again, after all was healed",
            witness.level_ms,
        );
        self.add(
            "a request complete again, after all was healed",
            witness.back_ms.1,
        );
    }

    fn print(&self) {
        self.violations.iter().for_each(|text| print!("{text}"));
        for (what, values) in &self.durations {
            let mut values = values.clone();
            values.sort_unstable();
            let at = |percent: usize| {
                let place = (values.len() * percent / 100).min(values.len().max(1) - 1);
                values.get(place).unwrap_or(&0)
            };
            println!(
                "{what}: {} times, p50 {} p99 {} most {} ms",
                values.len(),
                at(50),
                at(99),
                at(100)
            );
        }
    }
}

/// Most violations of a seed that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 8;

/// Describes a seed's violations and faults, and the operators' calls if asked for.
fn describe_violations(seed: u64, witness: &Witness, with_calls: bool) -> String {
    let mut text = format!("seed {seed}:\n");
    for what in witness.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        text += &format!("  VIOLATION {what}\n");
    }
    for fault in &witness.faults {
        text += &format!("  {fault}\n");
    }
    if with_calls {
        for call in &witness.calls {
            text += &format!("  {call}\n");
        }
    }
    text
}
