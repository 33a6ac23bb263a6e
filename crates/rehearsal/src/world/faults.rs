//! What fails, drawn from the seed, alone or together.

use super::*;

/// How a run goes.
#[derive(Debug, Clone)]
pub struct WorldRules {
    /// Whose fleet.
    pub deployment: Deployment,
    /// Where everything is drawn from.
    pub seed: u64,
    /// Faults strike within this.
    pub span: Span,
    /// After it all is healed, and the run goes on for this long.
    pub calm: Span,
    /// How many criers, if not as the deployment has.
    pub criers: Option<usize>,
    /// How many faults.
    pub faults: u64,
    /// Of these kinds only; empty: all.
    pub kinds: Vec<FaultKind>,
    /// Orders a second.
    pub orders_a_second: u64,
    /// Percent of plans that are large.
    pub large_plans: u64,
    /// BTB in the operators' plans, as JSON.
    pub btb: serde_json::Value,
    /// How the criers' desks work.
    pub desk: DeskRules,
    /// How the servers work.
    pub servers: ScheduleRules,
    /// Percent of drafts that belong to the burst at hand.
    pub hot_share: u64,
    /// How soon registrars take each other for gone, if not as usual.
    pub suspect: Option<Span>,
    /// How many registrars, if not as the deployment has.
    pub registrars: Option<usize>,
    /// Disks that a change is on before it is told as accepted: one more than may be lost at once.
    pub copies: usize,
    /// Who must know a change before it is told as accepted.
    pub quorum: Quorum,
    /// A fault in the system itself.
    pub mutant: Option<Mutant>,
}

impl WorldRules {
    /// The usual run.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        WorldRules {
            deployment,
            seed,
            span: Span::seconds(30),
            calm: Span::seconds(25),
            criers: None,
            faults: 8,
            kinds: vec![],
            orders_a_second: 25,
            large_plans: 3,
            btb: serde_json::json!({}),
            desk: DeskRules::default(),
            servers: ScheduleRules::default(),
            hot_share: 50,
            suspect: None,
            registrars: None,
            copies: 2,
            quorum: Quorum::Majority,
            mutant: None,
        }
    }
}

/// What can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultKind {
    /// A registrar's process is killed.
    KillRegistrar,
    /// All registrars are.
    KillCore,
    /// More than half of the criers are lost for good; their operator has them forgotten.
    LoseMembers,
    /// Some criers are.
    KillCriers,
    /// Everything of ours is.
    KillAll,
    /// A registrar freezes and wakes.
    FreezeRegistrar,
    /// A crier freezes and wakes.
    FreezeCrier,
    /// The core is split in two.
    SplitCore,
    /// No letters between the core and the criers.
    CutCore,
    /// One way only.
    CutOneWay,
    /// A crier's machine is cut off from everything.
    CutCrier,
    /// A zone is lost, servers and all, and comes back.
    LoseHall,
    /// Letters are lost, late, doubled, out of order.
    BadNetwork,
    /// A disk is slow.
    SlowDisk,
    /// A disk stalls.
    StallDisk,
    /// A disk is full for a while.
    FullDisk,
    /// A disk is wiped, its machine restarted.
    WipeDisk,
    /// Power fails at a registrar: what was not synced is gone.
    PowerLoss,
    /// Power fails everywhere.
    PowerLossAll,
    /// Power fails everywhere right after a change was acknowledged.
    PowerLossAfterAck,
    /// A disk is wiped right after a change was acknowledged.
    WipeAfterAck,
    /// As many disks as may be lost at once are, or a zone's, right after a change was acknowledged, while all
    /// other registrars lose power. Struck only where it's named.
    LoseBudgetAfterAck,
    /// The same, at any time.
    LoseBudget,
    /// A registrar's machine is lost for good; an empty one comes at a new address.
    ReplaceCore,
    /// A server crashes and comes back.
    CrashServer,
    /// A server restarts in place, too fast for anyone to find it gone. Struck only where it's named.
    RestartServer,
    /// A server takes orders and says nothing.
    DarkServer,
    /// A server answers, but slowly.
    SlowServer,
    /// All machines of ours in a zone freeze and wake.
    FreezeHall,
    /// Traffic jumps to five times as much and back, most of it with one prefix.
    Crowd,
    /// Servers leave pieces out, double them, mix runs up, end early.
    GarbleServers,
    /// Servers make connections late.
    LateAccept,
    /// Servers are replaced one after another.
    ReplaceServers,
    /// A server leaves: marked first, gone later.
    LeaveServer,
    /// Plans come in a storm.
    PlanStorm,
    /// Most servers refuse or fail.
    Brownout,
}

const KINDS: [FaultKind; 33] = [
    FaultKind::KillRegistrar,
    FaultKind::KillCore,
    FaultKind::LoseMembers,
    FaultKind::KillCriers,
    FaultKind::KillAll,
    FaultKind::FreezeRegistrar,
    FaultKind::FreezeCrier,
    FaultKind::SplitCore,
    FaultKind::CutCore,
    FaultKind::CutOneWay,
    FaultKind::CutCrier,
    FaultKind::LoseHall,
    FaultKind::BadNetwork,
    FaultKind::SlowDisk,
    FaultKind::StallDisk,
    FaultKind::FullDisk,
    FaultKind::WipeDisk,
    FaultKind::PowerLoss,
    FaultKind::PowerLossAll,
    FaultKind::PowerLossAfterAck,
    FaultKind::WipeAfterAck,
    FaultKind::ReplaceCore,
    FaultKind::CrashServer,
    FaultKind::DarkServer,
    FaultKind::LateAccept,
    FaultKind::GarbleServers,
    FaultKind::SlowServer,
    FaultKind::FreezeHall,
    FaultKind::Crowd,
    FaultKind::ReplaceServers,
    FaultKind::LeaveServer,
    FaultKind::PlanStorm,
    FaultKind::Brownout,
];

/// One fault: what, when, for how long, whom.
#[derive(Debug, Clone)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when. Read by whoever prints it.
    #[allow(dead_code)]
    pub at: u64,
    /// For how long.
    pub span: u64,
    /// Draws its victims.
    pub pick: u64,
    cut: Vec<(Address, Address)>,
}

impl World {
    pub(super) fn plan_faults(&mut self) {
        let kinds = if self.rules.kinds.is_empty() { KINDS.to_vec() } else { self.rules.kinds.clone() };
        for place in 0..self.rules.faults as usize {
            let kind = kinds[self.below(kinds.len() as u64) as usize];
            let at = 4000 + self.below(self.rules.span.0.saturating_sub(8000));
            let span = (500 + self.below(5500)).min(self.rules.span.0 - at);
            let pick = self.draw();
            // Some days end with a closing fault, right before all is healed.
            let is_closing = place + 1 == self.rules.faults as usize && pick.is_multiple_of(3);
            let (at, span) = if is_closing { (self.rules.span.0 - 200, 150) } else { (at, span) };
            self.faults.push(Fault { kind, at, span, pick, cut: vec![] });
            self.put(at, Happening::Strike { place });
            self.put(at + span, Happening::Heal { place });
        }
        let place = self.faults.len();
        self.put(self.rules.span.0, Happening::Heal { place });
    }

    fn cut_between(&mut self, place: usize, ones: &[Address], others: &[Address], is_one_way: bool) {
        for one in ones {
            for other in others.iter().filter(|other| *other != one) {
                self.faults[place].cut.push((*one, *other));
                if !is_one_way {
                    self.faults[place].cut.push((*other, *one));
                }
            }
        }
        self.cut = self.faults.iter().flat_map(|fault| fault.cut.iter().copied()).collect();
    }

    /// Strikes what waits for an acknowledgement.
    pub(super) fn strike_after_ack(&mut self) {
        for place in std::mem::take(&mut self.armed) {
            self.faults[place].kind = match self.faults[place].kind {
                FaultKind::PowerLossAfterAck => FaultKind::PowerLossAll,
                FaultKind::LoseBudgetAfterAck => FaultKind::LoseBudget,
                _ => FaultKind::WipeDisk,
            };
            self.strike(place);
        }
    }

    pub(super) fn strike(&mut self, place: usize) {
        let Fault { kind, span, pick, .. } = self.faults[place].clone();
        let registrar = (pick % self.registrars.len() as u64) as usize;
        let crier = (pick / 7 % self.criers.len() as u64) as usize;
        let model = (pick / 11 % self.rules.deployment.shape().models as u64) as usize;
        let core: Vec<Address> = self.registrars.iter().map(|m| m.address).collect();
        let members: Vec<Address> = self.criers.iter().map(|m| m.address).collect();
        let back = 50 + pick % 2500;
        match kind {
            FaultKind::KillRegistrar => {
                self.kill_registrar(registrar, false);
                self.put(back, Happening::StartRegistrar { machine: registrar });
            }
            FaultKind::PowerLoss => {
                self.kill_registrar(registrar, true);
                self.put(back, Happening::StartRegistrar { machine: registrar });
            }
            FaultKind::KillCore | FaultKind::PowerLossAll | FaultKind::KillAll => {
                for machine in 0..self.registrars.len() {
                    self.kill_registrar(machine, kind == FaultKind::PowerLossAll);
                    self.put(back + machine as u64 * 30, Happening::StartRegistrar { machine });
                }
                if kind == FaultKind::KillAll {
                    for machine in 0..self.criers.len() {
                        self.kill_crier(machine);
                        self.put(back + machine as u64 * 20, Happening::StartCrier { machine });
                    }
                }
            }
            FaultKind::KillCriers => {
                for machine in 0..self.criers.len() {
                    if mix(pick ^ machine as u64).is_multiple_of(2) {
                        self.kill_crier(machine);
                        self.put(back, Happening::StartCrier { machine });
                    }
                }
            }
            FaultKind::LoseMembers => {
                let count = self.criers.len();
                for machine in (0..count / 2 + 1).map(|step| (crier + step) % count) {
                    self.kill_crier(machine);
                    self.criers[machine].is_lost = true;
                }
                (0..8).for_each(|step| self.put(3000 + step * 2500, Happening::Forget { place: step as usize }));
            }
            FaultKind::FreezeRegistrar => self.registrars[registrar].frozen_until = self.now + span,
            FaultKind::FreezeCrier => self.criers[crier].frozen_until = self.now + span,
            FaultKind::SplitCore => {
                let (ones, others) = core.split_at(1 + registrar % (core.len() - 1));
                let (ones, others) = (ones.to_vec(), others.to_vec());
                self.cut_between(place, &ones, &others, false);
            }
            FaultKind::CutCore => self.cut_between(place, &core, &members, false),
            FaultKind::CutOneWay => {
                let all: Vec<Address> = core.iter().chain(&members).copied().collect();
                self.cut_between(place, &[core[registrar]], &all, true);
            }
            FaultKind::CutCrier => {
                let all: Vec<Address> = core.iter().chain(&members).copied().collect();
                self.cut_between(place, &[members[crier]], &all, false);
                self.criers[crier].is_cut_off = pick.is_multiple_of(2);
            }
            FaultKind::SlowServer => self.servers[model].schedule.strike.slowness = 20 + (pick % 40) as u32,
            FaultKind::Crowd => self.crowd_until = self.now + span,
            FaultKind::FreezeHall => {
                let halls = self.rules.deployment.shape().halls;
                let hall = HallName::from(halls[(pick % halls.len() as u64) as usize]);
                let until = self.now + span;
                self.registrars.iter_mut().filter(|m| m.hall == hall).for_each(|m| m.frozen_until = until);
                self.criers.iter_mut().filter(|m| m.hall == hall).for_each(|m| m.frozen_until = until);
            }
            FaultKind::LoseHall => {
                let halls = self.rules.deployment.shape().halls;
                let hall = HallName::from(halls[(pick % halls.len() as u64) as usize]);
                for machine in 0..self.registrars.len() {
                    if self.registrars[machine].hall == hall {
                        self.kill_registrar(machine, true);
                        self.put(span, Happening::StartRegistrar { machine });
                    }
                }
                for machine in 0..self.criers.len() {
                    if self.criers[machine].hall == hall {
                        self.kill_crier(machine);
                        self.put(span, Happening::StartCrier { machine });
                    }
                }
                for server in 0..self.servers.len() {
                    if self.servers[server].hall == hall {
                        self.servers[server].is_up = false;
                        self.put(span, Happening::StartServer { server });
                    }
                }
            }
            FaultKind::PowerLossAfterAck | FaultKind::WipeAfterAck | FaultKind::LoseBudgetAfterAck => {
                self.armed.push(place);
            }
            FaultKind::LoseBudget => self.lose_budget(pick, back),
            FaultKind::BadNetwork => self.loss = 10 + pick % 20,
            FaultKind::SlowDisk => self.registrars[registrar].disk.delay = 150 + pick % 400,
            FaultKind::StallDisk => self.registrars[registrar].disk.stalled_until = self.now + span,
            FaultKind::FullDisk => self.registrars[registrar].disk.full_until = self.now + span,
            FaultKind::WipeDisk | FaultKind::ReplaceCore => self.lose_disk(registrar, kind, back),
            FaultKind::CrashServer => {
                self.servers[model].is_up = false;
                self.put(span, Happening::StartServer { server: model });
            }
            FaultKind::RestartServer => self.start_server(model),
            FaultKind::DarkServer => self.servers[model].is_dark = true,
            FaultKind::LateAccept => self.servers.iter_mut().for_each(|server| server.accepts_late = true),
            FaultKind::GarbleServers => self.servers.iter_mut().for_each(|server| server.is_garbled = true),
            FaultKind::ReplaceServers => {
                for step in 0..4u64 {
                    let server = ((model as u64 + step) % self.rules.deployment.shape().models as u64) as usize;
                    self.put(step * 900, Happening::ReplaceServer { server });
                }
            }
            FaultKind::LeaveServer => {
                self.servers[model].leaving_since = Some(self.now);
                self.publish();
            }
            FaultKind::PlanStorm => self.operators.storm_until = self.now + span.min(3000),
            FaultKind::Brownout => {
                for (number, server) in self.servers.iter_mut().enumerate() {
                    if server.pool == "model" && !mix(pick ^ number as u64).is_multiple_of(4) {
                        server.schedule.strike.does_refuse = true;
                    }
                }
            }
        }
    }

    /// One disk at a time may be lost: only while all others hold everything.
    fn lose_disk(&mut self, machine: usize, kind: FaultKind, back: u64) {
        let now = self.now;
        let views: Vec<&college::prelude::View> =
            self.registrars.iter().filter_map(|m| m.office.as_ref()).map(|office| office.fellow().view()).collect();
        let newest = views.iter().max_by_key(|view| view.epoch);
        let is_whole = newest.is_some_and(|view| {
            let all = self.registrars.iter().filter(|m| !m.is_gone);
            all.clone().count() == view.chain.len()
                && view.chain.iter().all(|seat| seat.is_level)
                && all.clone().all(|m| m.office.is_some() && now >= m.frozen_until && now >= m.disk.full_until)
                && all.clone().all(|m| view.seats(&Voter { address: m.address, disk: m.disk.id }))
        });
        if !is_whole {
            return;
        }
        self.kill_registrar(machine, true);
        let new_id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
        let does_keep_id = self.rules.mutant == Some(Mutant::ReuseWipedVote);
        if kind == FaultKind::ReplaceCore {
            let number = self.registrars.len() as u16;
            let hall = self.registrars[machine].hall.clone();
            let offset = 1_000_000 + self.below(1_000_000_000);
            self.registrars[machine].is_gone = true;
            let address = Address::loopback(1501 + number);
            self.registrars.push(RegistrarMachine::new(address, hall, offset, SimDisk::new(new_id, 3)));
            let machine = self.registrars.len() - 1;
            self.put(back, Happening::StartRegistrar { machine });
            return;
        }
        let disk = &mut self.registrars[machine].disk;
        disk.durable.clear();
        if !does_keep_id {
            disk.id = new_id;
        }
        self.put(back, Happening::StartRegistrar { machine });
    }

    /// Wipes as many disks as may be lost at once and cuts all power, while each machine votes with its disk:
    /// only then do most voters remain.
    fn lose_budget(&mut self, pick: u64, back: u64) {
        let offices = self.registrars.iter().filter_map(|m| m.office.as_ref());
        let newest = offices.map(|office| office.fellow().view()).max_by_key(|view| view.epoch);
        let is_voter =
            |m: &&RegistrarMachine| newest.is_some_and(|v| v.has_voter(&Voter { address: m.address, disk: m.disk.id }));
        let all: Vec<usize> = (0..self.registrars.len()).filter(|place| !self.registrars[*place].is_gone).collect();
        if !all.iter().all(|place| is_voter(&&self.registrars[*place])) {
            return;
        }
        let halls = self.rules.deployment.shape().halls;
        let hall = HallName::from(halls[(pick / 2 % halls.len() as u64) as usize]);
        let is_struck = |place: &usize| pick.is_multiple_of(2) || self.registrars[*place].hall == hall;
        let from = (pick / 5) as usize % all.len();
        let in_turn = (0..all.len()).map(|step| all[(from + step) % all.len()]);
        let victims: Vec<usize> = in_turn.filter(is_struck).take(self.rules.copies - 1).collect();
        for machine in all {
            self.kill_registrar(machine, true);
            if victims.contains(&machine) {
                let new_id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
                let disk = &mut self.registrars[machine].disk;
                disk.durable.clear();
                disk.id = new_id;
            }
            self.put(back + machine as u64 * 30, Happening::StartRegistrar { machine });
        }
    }

    pub(super) fn heal(&mut self, place: usize) {
        if place >= self.faults.len() {
            return self.heal_all();
        }
        let Fault { kind, pick, .. } = self.faults[place].clone();
        let crier = (pick / 7 % self.criers.len() as u64) as usize;
        let model = (pick / 11 % self.rules.deployment.shape().models as u64) as usize;
        self.armed.retain(|armed| *armed != place);
        self.faults[place].cut.clear();
        self.cut = self.faults.iter().flat_map(|fault| fault.cut.iter().copied()).collect();
        match kind {
            FaultKind::SlowServer => self.servers[model].schedule.strike.slowness = 0,
            FaultKind::FreezeRegistrar | FaultKind::FreezeHall => {
                self.wake_criers();
                let all = 0..self.registrars.len();
                all.for_each(|machine| {
                    if self.now >= self.registrars[machine].frozen_until {
                        self.wake(true, machine);
                    }
                });
            }
            FaultKind::FreezeCrier => self.wake_criers(),
            FaultKind::CutCrier => self.criers[crier].is_cut_off = false,
            FaultKind::BadNetwork => self.loss = 0,
            FaultKind::SlowDisk => self.registrars.iter_mut().for_each(|m| m.disk.delay = 3),
            FaultKind::DarkServer => {
                self.servers[model].is_dark = false;
            }
            FaultKind::LateAccept => self.servers.iter_mut().for_each(|server| server.accepts_late = false),
            FaultKind::GarbleServers => self.servers.iter_mut().for_each(|server| server.is_garbled = false),
            FaultKind::LeaveServer => {
                // It's gone, and later another comes in its place.
                self.servers[model].is_up = false;
                self.servers[model].is_listed = false;
                self.publish();
                self.put(700, Happening::StartServer { server: model });
            }
            FaultKind::Brownout => {
                self.servers.iter_mut().for_each(|server| server.schedule.strike.does_refuse = false);
            }
            _ => {}
        }
    }

    fn wake_criers(&mut self) {
        for machine in 0..self.criers.len() {
            if self.now >= self.criers[machine].frozen_until {
                self.wake(false, machine);
            }
        }
    }

    /// The end of all faults: everything that was killed is started, within a little.
    fn heal_all(&mut self) {
        self.faults.iter_mut().for_each(|fault| fault.cut.clear());
        self.cut.clear();
        self.loss = 0;
        let now = self.now;
        for machine in 0..self.registrars.len() {
            let m = &mut self.registrars[machine];
            m.disk.delay = 3;
            m.disk.stalled_until = 0;
            m.disk.full_until = 0;
            m.frozen_until = m.frozen_until.min(now);
            self.wake(true, machine);
            self.put(1500, Happening::StartRegistrar { machine });
        }
        for machine in 0..self.criers.len() {
            let m = &mut self.criers[machine];
            m.is_cut_off = false;
            m.is_lost = false;
            m.frozen_until = m.frozen_until.min(now);
            self.wake(false, machine);
            self.put(1500, Happening::StartCrier { machine });
        }
        for server in 0..self.servers.len() {
            self.servers[server].is_dark = false;
            self.servers[server].accepts_late = false;
            self.servers[server].is_garbled = false;
            self.servers[server].schedule.strike = Strike::default();
            if !self.servers[server].is_up {
                self.put(500, Happening::StartServer { server });
            }
        }
        self.witness.calm(now);
        (1..=24).for_each(|step| self.put(step * 500, Happening::Probe));
    }

    /// An operator tries whether changes are taken again.
    pub(super) fn on_probe(&mut self) {
        let hall = HallName::from(self.rules.deployment.shape().halls[0]);
        if !self.witness.is_core_back() {
            self.ask(None, Some(Motion::Restore { hall }));
        }
    }
}
