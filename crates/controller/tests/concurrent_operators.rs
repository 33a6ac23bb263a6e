//! Operators that send at once, on one number or one zone, whose acknowledgements are lost and who send again
//! as they did before, to any control machine, while machines are held up, cut off, killed or wiped. Played
//! from seeds over the very state machines; each event's request is drawn.

mod control;

use config::{OwnPlans, Plan, PlanDialect, PlanError};
use control::{Carriage, Core, Mutant};
use controller::{
    AdminAnswer, AdminCall, AdminStep, AdminTask, ControllerInput, OperatorRequest, RequestAge,
};
use std::collections::{BTreeMap, BTreeSet};
use types::{MonotonicInstant, ResultCode, ZoneName};
use wire::Query;

/// An operator turns to another machine after this silence.
const SILENCE: u64 = 1000;
/// After an answer that is no clear one.
const PAUSE: u64 = 200;
/// Third of any other 4xx ends a call.
const OTHER_REFUSALS: u32 = 3;
/// A call without a clear answer is given up after so many tries.
const TRIES: u32 = 12;
/// Of a hundred tries of a configuration after the first, so many are not made.
const GIVEN_UP: u64 = 12;
/// A machine answers within this, the operator's silence less what is on the way.
const PATIENCE: u64 = 950;
/// One that was held up may take itself to be in time for so long.
const UNNOTICED: u64 = 4000;
/// Faults and operators act for this long; then all is healed.
const SPAN: u64 = 30_000;
const CALM: u64 = 14_000;
/// The number of changes after which earlier calls are sent again.
const LATER_CHANGES: usize = 400;

/// Documents as the product has them, but that a change can't be merged twice: what was good when it was first
/// merged has a fault when it comes again.
struct OncePlans;

impl PlanDialect for OncePlans {
    fn parse(&self, bytes: &[u8]) -> Result<Plan, Vec<PlanError>> {
        OwnPlans.parse(bytes)
    }
    fn merge(&self, plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<PlanError>> {
        let note = |bytes: &[u8]| {
            serde_json::from_slice::<serde_json::Value>(bytes)
                .ok()
                .map(|v| v["note"].clone())
        };
        if note(plan) == note(change) {
            return Err(vec![PlanError::in_dialect("note", "it is there already")]);
        }
        OwnPlans.merge(plan, change)
    }
}

fn zones() -> &'static [ZoneName] {
    static ZONES: std::sync::OnceLock<Vec<ZoneName>> = std::sync::OnceLock::new();
    ZONES.get_or_init(|| vec!["east".into(), "west".into()])
}

fn document(revision: u64, note: u64) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"services":{{"a":{{"slots":4}}}},"note":"{note}"}}"#)
        .into_bytes()
}

/// One request at a machine, which may outlive its operator's patience.
struct PendingRequest {
    task: AdminTask<'static>,
    machine: usize,
    operator: Option<usize>,
    arrived_at: u64,
    until: u64,
    is_about_fate: bool,
}

impl PendingRequest {
    fn age(&self) -> RequestAge {
        RequestAge {
            arrived_after: MonotonicInstant(self.arrived_at),
            deadline: MonotonicInstant(self.until),
        }
    }
}

/// What became of a call, as its operator sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Confirmed,
    Refused,
    Unclear,
}

/// A call that an operator sends until it is clear.
struct Running {
    call: AdminCall,
    base: Option<u64>,
    tries: u32,
    other_refusals: u32,
    /// The request that it waits for, since when.
    waits: Option<(u64, u64)>,
    next_try: u64,
}

/// What an operator does.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Job {
    /// Changes the configuration, based on the newest revision that was confirmed to any operator.
    Configures,
    /// Evacuates this zone and takes it back, in turn, alone.
    Evacuates(ZoneName),
}

struct Operator {
    job: Job,
    running: Option<Running>,
    rests_until: u64,
    /// Whether its zone is evacuated by the last response; `None` while a call is in flight.
    is_known_evacuated: Option<bool>,
    is_next_evacuated: bool,
}

struct Play {
    core: Core,
    mutant: Option<Mutant>,
    pending: BTreeMap<u64, PendingRequest>,
    operators: Vec<Operator>,
    next_number: u64,
    next_note: u64,
    /// The newest revision that was confirmed to any operator.
    newest: u64,
    /// The newest revision that a tail under its lease had.
    accepted: u64,
    ended: Vec<(AdminCall, Option<u64>, Outcome)>,
    violations: Vec<String>,
    /// Whether acknowledgements are lost, and operators give up, no more.
    is_over: bool,
}

impl Play {
    fn new(seed: u64, mutant: Option<Mutant>) -> Play {
        let operator = |job| Operator {
            job,
            running: None,
            rests_until: 0,
            is_known_evacuated: None,
            is_next_evacuated: true,
        };
        let jobs = [
            Job::Configures,
            Job::Configures,
            Job::Configures,
            Job::Evacuates("east".into()),
            Job::Evacuates("west".into()),
        ];
        let mut play = Play {
            core: Core::new(seed, mutant),
            mutant,
            pending: BTreeMap::new(),
            operators: jobs.into_iter().map(operator).collect(),
            next_number: 0,
            next_note: 0,
            newest: 0,
            accepted: 0,
            ended: vec![],
            violations: vec![],
            is_over: true,
        };
        let first = AdminCall::Plan {
            bytes: document(5, 0),
            base: 0,
        };
        assert_eq!(play.send_until_clear(first), Outcome::Confirmed);
        play.newest = 5;
        play.is_over = false;
        play
    }

    /// Sends a call to a machine; gives the request's number.
    fn send(&mut self, machine: usize, call: AdminCall, operator: Option<usize>) -> u64 {
        self.next_number += 1;
        let number = self.next_number;
        let (task, step) = AdminTask::begin(call, &OncePlans, zones(), true);
        let until = self.core.now
            + if self.core.chance(60) {
                PATIENCE
            } else {
                UNNOTICED
            };
        self.pending.insert(
            number,
            PendingRequest {
                task,
                machine,
                operator,
                arrived_at: self.core.now,
                until,
                is_about_fate: false,
            },
        );
        self.take_step(number, step);
        number
    }

    fn take_step(&mut self, number: u64, step: AdminStep) {
        let Some(request) = self.pending.get_mut(&number) else {
            return;
        };
        match step {
            AdminStep::Request(query) => {
                request.is_about_fate =
                    matches!(query, OperatorRequest::Read(Query::CommandStatus { .. }));
                let machine = request.machine;
                let age = request.age();
                self.core.step(
                    machine,
                    ControllerInput::Operator {
                        number,
                        request: query,
                        age,
                    },
                );
            }
            AdminStep::Answer(answer) => {
                let is_about_fate = request.is_about_fate;
                let operator = request.operator;
                self.pending.remove(&number);
                if let Some(operator) = operator {
                    self.on_answer(operator, number, answer, is_about_fate);
                }
            }
        }
    }

    fn on_answer(
        &mut self,
        operator: usize,
        number: u64,
        answer: AdminAnswer,
        is_about_fate: bool,
    ) {
        let is_lost = !self.is_over && self.core.chance(35);
        let now = self.core.now;
        let Some(running) = &mut self.operators[operator].running else {
            return;
        };
        if is_lost
            || running
                .waits
                .is_none_or(|(waits_for, _)| waits_for != number)
        {
            return;
        }
        running.waits = None;
        running.next_try = now + PAUSE;
        let outcome = match answer {
            AdminAnswer::Done => Outcome::Confirmed,
            AdminAnswer::Refused {
                code: ResultCode::Conflict | ResultCode::IdReused | ResultCode::BadPlan,
                ..
            } => Outcome::Refused,
            AdminAnswer::Refused { .. }
                if is_about_fate && self.mutant == Some(Mutant::AnyFateRefuses) =>
            {
                Outcome::Refused
            }
            AdminAnswer::Refused { code, .. } if (400..500).contains(&code.http_status()) => {
                running.other_refusals += 1;
                if running.other_refusals < OTHER_REFUSALS {
                    return;
                }
                Outcome::Refused
            }
            AdminAnswer::Refused { .. } | AdminAnswer::Plan(_) => return,
        };
        self.end(operator, outcome);
    }

    fn end(&mut self, operator: usize, outcome: Outcome) {
        let now = self.core.now;
        let rest = if self.core.chance(50) {
            self.core.below(150)
        } else {
            self.core.below(2500)
        };
        let Some(running) = self.operators[operator].running.take() else {
            return;
        };
        let operator = &mut self.operators[operator];
        operator.rests_until = now + rest;
        match (&running.call, outcome) {
            (AdminCall::Withdraw { .. } | AdminCall::Restore { .. }, Outcome::Confirmed) => {
                operator.is_known_evacuated = Some(operator.is_next_evacuated);
                operator.is_next_evacuated = !operator.is_next_evacuated;
            }
            (AdminCall::Withdraw { .. } | AdminCall::Restore { .. }, Outcome::Refused) => {
                self.violations
                    .push(format!("{now}: an evacuation was refused for good"));
            }
            (_, Outcome::Refused) if running.base.is_some_and(|base| self.accepted <= base) => {
                self.violations.push(format!(
                    "{now}: refused on {:?}, and nothing newer was accepted",
                    running.base
                ));
            }
            (_, Outcome::Confirmed) => {
                let revision = revision_of(&running.call);
                self.newest = self.newest.max(revision);
            }
            _ => {}
        }
        self.ended.push((running.call, running.base, outcome));
    }

    /// Each operator does what it does next.
    fn operate(&mut self, may_begin: bool) {
        let now = self.core.now;
        for place in 0..self.operators.len() {
            let operator = &self.operators[place];
            if let Some(running) = &operator.running {
                match running.waits {
                    Some((number, since)) if now >= since + SILENCE => {
                        self.turn_away(place, number);
                    }
                    None if now >= running.next_try => self.try_again(place),
                    _ => {}
                }
            } else if may_begin && now >= operator.rests_until {
                self.begin(place);
            }
        }
    }

    /// The operator hears nothing, and tries elsewhere; the machine may not notice.
    fn turn_away(&mut self, place: usize, number: u64) {
        let is_noticed = self.core.chance(40);
        let now = self.core.now;
        if let Some(request) = self.pending.get_mut(&number) {
            request.operator = None;
            if is_noticed {
                request.until = now;
            }
        }
        if let Some(running) = &mut self.operators[place].running {
            running.waits = None;
            running.next_try = now;
        }
    }

    fn try_again(&mut self, place: usize) {
        let machine = self.core.below(3) as usize;
        let Some(running) = &mut self.operators[place].running else {
            return;
        };
        running.tries += 1;
        // An evacuation goes on until it's clear: the next one is of no use before.
        let is_given_up = running.tries > TRIES
            || (running.tries > 1 && self.core.chance(GIVEN_UP) && !self.is_over);
        if is_given_up && running.base.is_some() {
            return self.end(place, Outcome::Unclear);
        }
        let Some(running) = &mut self.operators[place].running else {
            return;
        };
        let call = running.call.clone();
        if !self.core.is_up(machine) {
            running.next_try = self.core.now + PAUSE;
            return;
        }
        let now = self.core.now;
        // The request may be answered at once.
        running.waits = Some((self.next_number + 1, now));
        self.send(machine, call, Some(place));
    }

    fn begin(&mut self, place: usize) {
        self.next_note += 1;
        let (call, base) = match &self.operators[place].job {
            Job::Configures => {
                let (base, note) = (self.newest, self.next_note);
                // All that build on one number pick the same next one.
                let bytes = document(base + 2, note);
                let is_full_plan = self.core.chance(50);
                let call = if is_full_plan {
                    AdminCall::Plan { bytes, base }
                } else {
                    AdminCall::Change { bytes, base }
                };
                (call, Some(base))
            }
            Job::Evacuates(zone) if self.operators[place].is_next_evacuated => {
                (AdminCall::Withdraw { zone: zone.clone() }, None)
            }
            Job::Evacuates(zone) => (AdminCall::Restore { zone: zone.clone() }, None),
        };
        let operator = &mut self.operators[place];
        operator.is_known_evacuated = None;
        operator.running = Some(Running {
            call,
            base,
            tries: 0,
            other_refusals: 0,
            waits: None,
            next_try: self.core.now,
        });
        self.try_again(place);
    }

    /// Answers of the core, and requests whose time is over.
    fn complete_requests(&mut self) {
        while let Some((number, (status, body))) = self.core.answers.pop_first() {
            if let Some(request) = self.pending.get_mut(&number) {
                let step = request.task.on_response(Some((status, body)));
                self.take_step(number, step);
            }
        }
        let now = self.core.now;
        let is_over = |request: &PendingRequest| now >= request.until;
        let over: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, request)| is_over(request))
            .map(|(number, _)| *number)
            .collect();
        for number in over {
            let Some(request) = self.pending.get_mut(&number) else {
                continue;
            };
            let (machine, step) = (request.machine, request.task.on_response(None));
            self.core
                .step(machine, ControllerInput::Abandoned { number });
            self.take_step(number, step);
            self.pending.remove(&number);
        }
    }

    fn check(&mut self) {
        let Some(config_state) = self.core.accepted() else {
            return;
        };
        self.accepted = self.accepted.max(config_state.revision);
        let mut wrong = vec![];
        for operator in &mut self.operators {
            let Job::Evacuates(zone) = &operator.job else {
                continue;
            };
            let is_evacuated = config_state.withdrawn.contains(zone);
            if operator
                .is_known_evacuated
                .is_some_and(|known| known != is_evacuated)
            {
                wrong.push(format!(
                    "{}: zone {zone} is evacuated: {is_evacuated}, the last word differs",
                    self.core.now
                ));
                operator.is_known_evacuated = None;
            }
        }
        self.violations.extend(wrong);
    }

    /// One tick: everything that can happen does, in an order that is drawn.
    fn tick(&mut self, may_begin: bool) {
        self.core.tick();
        self.operate(may_begin);
        loop {
            let is_moving = self.core.advance();
            self.complete_requests();
            self.check();
            if !is_moving {
                return;
            }
        }
    }

    fn drop_requests_of(&mut self, machine: usize) {
        self.pending.retain(|_, request| request.machine != machine);
    }

    /// A machine is in trouble for a while; the others are well, and it is level again before the next.
    fn play(&mut self) {
        let end = self.core.now + SPAN;
        while self.core.now < end {
            let (machine, span) = (self.core.below(3) as usize, 300 + self.core.below(4000));
            let trouble = self.core.below(7);
            self.strike(machine, trouble);
            self.pass(span, true);
            (0..3).for_each(|other| {
                self.core.set_lines_of(other, Carriage::Open);
                self.core.start(other);
            });
            self.core.lost_answers = 0;
            self.pass(6000, true);
        }
        self.pass(CALM, false);
        self.is_over = true;
    }

    fn strike(&mut self, machine: usize, trouble: u64) {
        match trouble {
            0 => self.core.set_lines_of(machine, Carriage::Cut),
            1 => self.core.set_lines_of(machine, Carriage::Held),
            2 => (0..3)
                .filter(|to| *to != machine)
                .for_each(|to| self.core.set_line(machine, to, Carriage::Held)),
            3 => {
                // What it proposes is on its way while others go on.
                let head = self.core.head().unwrap_or(0);
                let other = (head + 1 + self.core.below(2) as usize) % 3;
                self.core.set_line(other, head, Carriage::Held);
                self.pass(2500, true);
            }
            4 => self.core.lost_answers = 70,
            5 => {
                self.core.kill(machine);
                self.drop_requests_of(machine);
            }
            _ => {
                // What it took last may be on its disk alone.
                (0..3)
                    .filter(|to| *to != machine)
                    .for_each(|to| self.core.set_line(machine, to, Carriage::Held));
                self.pass(self.core.now % 300, true);
                self.core.wipe(machine);
                self.drop_requests_of(machine);
            }
        }
    }

    fn pass(&mut self, span: u64, may_begin: bool) {
        let until = self.core.now + span;
        while self.core.now < until {
            self.tick(may_begin);
        }
    }

    /// Sends a call as it was, to any machine, until its answer is clear.
    fn send_until_clear(&mut self, call: AdminCall) -> Outcome {
        let place = self.operators.len();
        let (base, next_try) = (base_of(&call), self.core.now);
        let running = Running {
            call,
            base,
            tries: 0,
            other_refusals: 0,
            waits: None,
            next_try,
        };
        let running = Some(running);
        let (job, rests_until) = (Job::Configures, u64::MAX);
        self.operators.push(Operator {
            job,
            running,
            rests_until,
            is_known_evacuated: None,
            is_next_evacuated: true,
        });
        let before = self.ended.len();
        for _ in 0..TRIES {
            self.pass(SILENCE, false);
            if self.ended.len() > before {
                break;
            }
            if let Some(running) = &mut self.operators[place].running {
                running.tries = 0;
            }
        }
        self.operators.remove(place);
        if self.ended.len() > before {
            self.ended
                .pop()
                .map_or(Outcome::Unclear, |(_, _, outcome)| outcome)
        } else {
            Outcome::Unclear
        }
    }

    /// What must hold at the end of a run, all being well again.
    fn judge(&mut self) {
        if self.core.accepted().is_none() {
            self.violations.push("no tail serves at the end".into());
            return;
        }
        let ended = std::mem::take(&mut self.ended);
        let mut winners: BTreeMap<u64, BTreeSet<Vec<u8>>> = BTreeMap::new();
        for (call, base, outcome) in &ended {
            let (Some(base), AdminCall::Plan { bytes, .. } | AdminCall::Change { bytes, .. }) =
                (base, call)
            else {
                continue;
            };
            let again = self.send_until_clear(call.clone());
            if *outcome != Outcome::Unclear && again != *outcome {
                self.violations
                    .push(format!("{call:?} was {outcome:?} and sent again {again:?}"));
            }
            if again == Outcome::Confirmed || *outcome == Outcome::Confirmed {
                winners.entry(*base).or_default().insert(bytes.clone());
            }
        }
        for (base, documents) in winners.iter().filter(|(_, documents)| documents.len() > 1) {
            self.violations.push(format!(
                "{} documents on revision {base} were confirmed",
                documents.len()
            ));
        }
        self.ended = ended;
    }
}

fn revision_of(call: &AdminCall) -> u64 {
    base_of(call).map_or(0, |base| if base == 0 { 5 } else { base + 2 })
}

fn base_of(call: &AdminCall) -> Option<u64> {
    match call {
        AdminCall::Plan { base, .. } | AdminCall::Change { base, .. } => Some(*base),
        _ => None,
    }
}

/// Plays a seed; gives what was wrong, and how many calls were confirmed, refused and left unclear.
fn run(seed: u64, mutant: Option<Mutant>) -> (Vec<String>, [usize; 3]) {
    let mut play = Play::new(seed, mutant);
    play.play();
    play.judge();
    let count = |wanted: Outcome| {
        play.ended
            .iter()
            .filter(|(_, _, outcome)| *outcome == wanted)
            .count()
    };
    let counts = [
        count(Outcome::Confirmed),
        count(Outcome::Refused),
        count(Outcome::Unclear),
    ];
    (play.violations, counts)
}

/// Plays these seeds on a few threads; gives the seeds with violations, and the sums of outcomes.
fn run_all(
    seeds: std::ops::Range<u64>,
    mutant: Option<Mutant>,
) -> (Vec<(u64, Vec<String>)>, [usize; 3]) {
    const THREADS: u64 = 4;
    let parts = (0..THREADS).map(|part| {
        let seeds = seeds.clone().filter(move |seed| seed % THREADS == part);
        std::thread::spawn(move || {
            seeds
                .map(|seed| (seed, run(seed, mutant)))
                .collect::<Vec<_>>()
        })
    });
    let parts: Vec<_> = parts.collect();
    let (mut bad, mut sums) = (vec![], [0; 3]);
    for (seed, (violations, counts)) in parts
        .into_iter()
        .flat_map(|part| part.join().expect("a part runs"))
    {
        counts
            .iter()
            .zip(&mut sums)
            .for_each(|(count, sum)| *sum += count);
        if !violations.is_empty() {
            bad.push((seed, violations));
        }
    }
    bad.sort();
    (bad, sums)
}

/// How many seeds the ordinary test plays; `CONTROL_SEEDS=FROM..TO` plays others.
fn seeds() -> std::ops::Range<u64> {
    let named = std::env::var("CONTROL_SEEDS").ok();
    let ends = named.as_deref().and_then(|range| range.split_once(".."));
    ends.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?))
        .unwrap_or(1..201)
}

#[test]
fn one_of_those_on_a_number_is_taken_and_it_is_confirmed_whenever_it_is_sent_again() {
    let (bad, sums) = run_all(seeds(), None);
    println!("confirmed, refused, unclear: {sums:?}");
    assert!(bad.is_empty(), "{} seeds: {bad:#?}", bad.len());
    assert!(
        sums.iter().all(|sum| *sum > 0),
        "each outcome is brought about: {sums:?}"
    );
}

/// Hundreds of changes later, what was taken is confirmed still, and what was refused is not taken.
#[test]
fn hundreds_of_changes_later_the_answers_are_the_same() {
    for seed in 900_001..900_004 {
        let mut play = Play::new(seed, None);
        play.play();
        let ended = std::mem::take(&mut play.ended);
        for _ in 0..LATER_CHANGES {
            play.next_note += 1;
            let base = play.newest;
            let call = AdminCall::Change {
                bytes: document(base + 2, play.next_note),
                base,
            };
            // Unclear calls may have been accepted after the newest revision that was confirmed.
            if play.send_until_clear(call) == Outcome::Confirmed {
                play.newest = base + 2;
            } else {
                play.newest = play.accepted;
            }
        }
        play.ended = ended;
        play.judge();
        assert_eq!(play.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// In how many of the first seeds a mutant is seen.
fn seen(mutant: Mutant, seeds: u64) -> usize {
    let count = run_all(1..seeds + 1, Some(mutant)).0.len();
    println!("{mutant:?} is seen in {count} of {seeds} seeds");
    count
}

#[test]
fn evacuations_that_enter_whatever_was_acknowledged_since_are_seen() {
    assert!(seen(Mutant::BlindEvacuations, 400) > 0);
}

#[test]
fn a_head_that_refuses_by_itself_is_seen() {
    assert!(seen(Mutant::HeadRefuses, 40) > 0);
}

#[test]
fn refusals_on_any_word_about_the_fate_are_seen() {
    assert!(seen(Mutant::AnyFateRefuses, 800) > 0);
}
