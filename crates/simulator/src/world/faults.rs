//! What fails, drawn from the seed, alone or together.

use super::fault_kinds::KINDS;
use super::*;
use crate::schedule::Strike;
use crate::world::{FaultKind, World};
use placement::mix;
use types::{Address, ZoneName};

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
    pub(super) cut: Vec<(Address, Address)>,
}

impl World {
    pub(super) fn plan_faults(&mut self) {
        let mut kinds = if self.rules.kinds.is_empty() {
            KINDS.to_vec()
        } else {
            self.rules.kinds.clone()
        };
        if self.rules.kinds.is_empty() && self.rules.relays > 0 {
            // As often as several of the others: most of what it may bring about needs one more fault behind it.
            kinds.extend([FaultKind::ExchangeSeeds; 6]);
        }
        for place in 0..self.rules.faults as usize {
            let kind = kinds[self.below(kinds.len() as u64) as usize];
            let at = 4000 + self.below(self.rules.span.0.saturating_sub(8000));
            let longest = if kind == FaultKind::CutController {
                16_500
            } else {
                5500
            };
            let span = (500 + self.below(longest)).min(self.rules.span.0 - at);
            let pick = self.draw();
            // Some days end with a closing fault, right before all is healed.
            let is_closing = place + 1 == self.rules.faults as usize && pick.is_multiple_of(3);
            let (at, span) = if is_closing {
                (self.rules.span.0 - 200, 150)
            } else {
                (at, span)
            };
            self.faults.push(Fault {
                kind,
                at,
                span,
                pick,
                cut: vec![],
            });
            self.put(at, Happening::Strike { place });
            self.put(at + span, Happening::Heal { place });
        }
        let place = self.faults.len();
        self.put(self.rules.span.0, Happening::Heal { place });
    }

    pub(super) fn cut_between(
        &mut self,
        place: usize,
        ones: &[Address],
        others: &[Address],
        is_one_way: bool,
    ) {
        for one in ones {
            for other in others.iter().filter(|other| *other != one) {
                self.faults[place].cut.push((*one, *other));
                if !is_one_way {
                    self.faults[place].cut.push((*other, *one));
                }
            }
        }
        self.cut = self
            .faults
            .iter()
            .flat_map(|fault| fault.cut.iter().copied())
            .collect();
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
        let Fault {
            kind, span, pick, ..
        } = self.faults[place].clone();
        let controller = (pick % self.controllers.len() as u64) as usize;
        let router = (pick / 7 % self.routers.len() as u64) as usize;
        let model = (pick / 11 % self.rules.deployment.shape().models as u64) as usize;
        let core: Vec<Address> = self.controllers.iter().map(|m| m.address).collect();
        let members: Vec<Address> = self.routers.iter().map(|m| m.address).collect();
        let back = 50 + pick % 2500;
        match kind {
            FaultKind::KillController => {
                self.kill_controller(controller, false);
                self.put(
                    back,
                    Happening::StartController {
                        machine: controller,
                    },
                );
            }
            FaultKind::PowerLoss => {
                self.kill_controller(controller, true);
                self.put(
                    back,
                    Happening::StartController {
                        machine: controller,
                    },
                );
            }
            FaultKind::KillCore | FaultKind::PowerLossAll | FaultKind::KillAll => {
                for machine in 0..self.controllers.len() {
                    self.kill_controller(machine, kind == FaultKind::PowerLossAll);
                    self.put(
                        back + machine as u64 * 30,
                        Happening::StartController { machine },
                    );
                }
                if kind == FaultKind::KillAll {
                    self.strike_relays(None, back);
                    for machine in 0..self.routers.len() {
                        self.kill_router(machine);
                        self.put(
                            back + machine as u64 * 20,
                            Happening::StartRouter { machine },
                        );
                    }
                }
            }
            FaultKind::KillRouters => {
                for machine in 0..self.routers.len() {
                    if mix(pick ^ machine as u64).is_multiple_of(2) {
                        self.kill_router(machine);
                        self.put(back, Happening::StartRouter { machine });
                    }
                }
            }
            FaultKind::LoseMembers => {
                let count = self.routers.len();
                for machine in (0..count / 2 + 1).map(|step| (router + step) % count) {
                    self.kill_router(machine);
                    self.routers[machine].is_lost = true;
                }
                (0..8).for_each(|step| {
                    self.put(
                        3000 + step * 2500,
                        Happening::Forget {
                            place: step as usize,
                        },
                    )
                });
            }
            FaultKind::FreezeController => {
                self.controllers[controller].frozen_until = self.now + span
            }
            FaultKind::FreezeRouter => self.routers[router].frozen_until = self.now + span,
            FaultKind::SplitCore => {
                let (ones, others) = core.split_at(1 + controller % (core.len() - 1));
                let (ones, others) = (ones.to_vec(), others.to_vec());
                self.cut_between(place, &ones, &others, false);
            }
            FaultKind::CutCore => self.cut_between(place, &core, &members, false),
            FaultKind::CutOneWay => {
                let all: Vec<Address> = core.iter().chain(&members).copied().collect();
                self.cut_between(place, &[core[controller]], &all, true);
            }
            FaultKind::CutRouter => {
                let all: Vec<Address> = core.iter().chain(&members).copied().collect();
                self.cut_between(place, &[members[router]], &all, false);
                self.routers[router].is_cut_off = pick.is_multiple_of(2);
            }
            FaultKind::SlowServer => {
                self.servers[model].schedule.strike.slowness = 20 + (pick % 40) as u32
            }
            FaultKind::Crowd => self.crowd_until = self.now + span,
            FaultKind::FreezeZone => {
                let zones = self.rules.deployment.shape().zones;
                let zone = ZoneName::from(zones[(pick % zones.len() as u64) as usize]);
                let until = self.now + span;
                self.controllers
                    .iter_mut()
                    .filter(|m| m.zone == zone)
                    .for_each(|m| m.frozen_until = until);
                self.routers
                    .iter_mut()
                    .filter(|m| m.zone == zone)
                    .for_each(|m| m.frozen_until = until);
            }
            FaultKind::LoseZone => {
                let zones = self.rules.deployment.shape().zones;
                let zone = ZoneName::from(zones[(pick % zones.len() as u64) as usize]);
                self.strike_relays(Some(&zone), span);
                for machine in 0..self.controllers.len() {
                    if self.controllers[machine].zone == zone {
                        self.kill_controller(machine, true);
                        self.put(span, Happening::StartController { machine });
                    }
                }
                for machine in 0..self.routers.len() {
                    if self.routers[machine].zone == zone {
                        self.kill_router(machine);
                        self.put(span, Happening::StartRouter { machine });
                    }
                }
                for server in 0..self.servers.len() {
                    if self.servers[server].zone == zone {
                        self.servers[server].is_up = false;
                        self.put(span, Happening::StartServer { server });
                    }
                }
            }
            FaultKind::CutController
            | FaultKind::ResetController
            | FaultKind::EvacuateCut
            | FaultKind::KillLeader
            | FaultKind::FreezeLeader
            | FaultKind::CutLeader
            | FaultKind::KillAfterSend
            | FaultKind::PowerLossAfterSend
            | FaultKind::KillInWrite
            | FaultKind::MeetReturn
            | FaultKind::ReplacePlanned
            | FaultKind::ReplaceCutSeeds => self.strike_aimed(place, controller),
            FaultKind::PowerLossAfterAck
            | FaultKind::WipeAfterAck
            | FaultKind::LoseBudgetAfterAck => {
                self.armed.push(place);
            }
            FaultKind::LoseBudget => self.lose_budget(pick, back),
            FaultKind::ExchangeSeeds => self.exchange_seeds(pick),
            FaultKind::BadNetwork => self.loss = 10 + pick % 20,
            FaultKind::SlowDisk => self.controllers[controller].disk.delay = 150 + pick % 400,
            FaultKind::StallDisk => {
                self.controllers[controller].disk.stalled_until = self.now + span
            }
            FaultKind::FullDisk => self.controllers[controller].disk.full_until = self.now + span,
            FaultKind::WipeDisk | FaultKind::ReplaceCore => self.lose_disk(controller, kind, back),
            FaultKind::CrashServer => {
                self.servers[model].is_up = false;
                self.put(span, Happening::StartServer { server: model });
            }
            FaultKind::RestartServer => self.start_server(model),
            FaultKind::DarkServer => self.servers[model].is_dark = true,
            FaultKind::LateAccept => self
                .servers
                .iter_mut()
                .for_each(|server| server.accepts_late = true),
            FaultKind::GarbleServers => self
                .servers
                .iter_mut()
                .for_each(|server| server.is_garbled = true),
            FaultKind::ReplaceServers => {
                for step in 0..4u64 {
                    let server = ((model as u64 + step)
                        % self.rules.deployment.shape().models as u64)
                        as usize;
                    self.put(step * 900, Happening::ReplaceServer { server });
                }
            }
            FaultKind::LeaveServer => {
                self.servers[model].draining_since = Some(self.now);
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

    pub(super) fn heal(&mut self, place: usize) {
        if place >= self.faults.len() {
            return self.heal_all();
        }
        let Fault { kind, pick, .. } = self.faults[place].clone();
        let router = (pick / 7 % self.routers.len() as u64) as usize;
        let model = (pick / 11 % self.rules.deployment.shape().models as u64) as usize;
        self.armed.retain(|armed| *armed != place);
        self.armed_for_send.retain(|armed| *armed != place);
        self.armed_for_write.retain(|armed| *armed != place);
        self.faults[place].cut.clear();
        self.cut = self
            .faults
            .iter()
            .flat_map(|fault| fault.cut.iter().copied())
            .collect();
        match kind {
            FaultKind::SlowServer => self.servers[model].schedule.strike.slowness = 0,
            FaultKind::FreezeController | FaultKind::FreezeLeader | FaultKind::FreezeZone => {
                self.wake_routers();
                let all = 0..self.controllers.len();
                all.for_each(|machine| {
                    if self.now >= self.controllers[machine].frozen_until {
                        self.wake(true, machine);
                    }
                });
            }
            FaultKind::FreezeRouter => self.wake_routers(),
            FaultKind::CutRouter => self.routers[router].is_cut_off = false,
            FaultKind::BadNetwork => self.loss = 0,
            FaultKind::SlowDisk => self.controllers.iter_mut().for_each(|m| m.disk.delay = 3),
            FaultKind::DarkServer => {
                self.servers[model].is_dark = false;
            }
            FaultKind::LateAccept => self
                .servers
                .iter_mut()
                .for_each(|server| server.accepts_late = false),
            FaultKind::GarbleServers => self
                .servers
                .iter_mut()
                .for_each(|server| server.is_garbled = false),
            FaultKind::LeaveServer => {
                // It's gone, and later another comes in its place.
                self.servers[model].is_up = false;
                self.servers[model].is_listed = false;
                self.publish();
                self.put(700, Happening::StartServer { server: model });
            }
            FaultKind::Brownout => {
                self.servers
                    .iter_mut()
                    .for_each(|server| server.schedule.strike.does_refuse = false);
            }
            _ => {}
        }
    }

    fn wake_routers(&mut self) {
        for machine in 0..self.routers.len() {
            if self.now >= self.routers[machine].frozen_until {
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
        for machine in 0..self.controllers.len() {
            let m = &mut self.controllers[machine];
            m.disk.delay = 3;
            m.disk.stalled_until = 0;
            m.disk.full_until = 0;
            m.frozen_until = m.frozen_until.min(now);
            self.wake(true, machine);
            self.put(1500, Happening::StartController { machine });
        }
        for machine in 0..self.routers.len() {
            let m = &mut self.routers[machine];
            m.is_cut_off = false;
            m.is_lost = false;
            m.frozen_until = m.frozen_until.min(now);
            self.wake(false, machine);
            self.put(1500, Happening::StartRouter { machine });
        }
        for machine in 0..self.relays.len() {
            self.put(1500, Happening::StartRelay { machine });
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
        let zone = ZoneName::from(self.rules.deployment.shape().zones[0]);
        if !self.witness.is_core_back() {
            self.ask(Command::Restore { zone });
        }
    }
}
