//! Controllers and routers: started, fed, frozen, killed.

use crate::world::event::Event;
use crate::world::{Mutant, World};
use crate::world::{ServerMachine, SimDisk, router_contact};
use config::ConfigStateMachine;
use config::{History, MAX_HISTORY_ENTRIES};
use controller::DisklessControllerInput;
use controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming};
use placement::mix;
use placement::{Decision, Event as SchedulerEvent};
use replication::{Record, RecoveredRecords, Replica, Voter};
use router::{Node, NodeInput, NodeOutput, NodeTiming};
use types::{Address, Milliseconds, MonotonicInstant, RequestId, TokenKey};
use wire::LeaseResponse;
use wire::Message;

impl World {
    /// Starts a controller's process on what its disk kept, unless it runs already or its machine is gone.
    pub(super) fn start_controller(&mut self, machine: usize) {
        let timing = self.controller_timing();
        let seeds = self.seeds_of(machine);
        let m = &self.controllers[machine];
        let contacts = self.contacts_of(m.address, MonotonicInstant(self.now + m.offset));
        // Drawn also where nothing starts: a seed's later draws depend on it.
        let key = TokenKey([self.draw() as u8; 32]);
        let incarnation = self.controller_incarnation(machine);
        let empty = self.empty_config_state();
        let m = &mut self.controllers[machine];
        if m.controller.is_some() || m.is_gone {
            return;
        }
        m.incarnation += 1;
        m.disk.pending.clear();
        let now = MonotonicInstant(self.now + m.offset);
        let known = self.known_controllers(machine, seeds);
        let m = &mut self.controllers[machine];
        let me = Voter {
            address: m.address,
            disk: m.disk.id,
        };
        let kept = RecoveredRecords {
            records: m.disk.durable.clone(),
        };
        match Replica::new(me, known, timing.replica, kept, empty, now) {
            Ok(replica) => {
                let controller = Controller::new(replica, contacts, timing, key, incarnation, now);
                m.controller = Some(controller);
            }
            Err(fault) => self.witness.violate(
                self.now,
                format!("a disk gave back what can't be used: {fault}"),
            ),
        }
        self.schedule_first_tick(machine);
    }

    /// The controllers' timing under the rules and the mutant of this world.
    fn controller_timing(&self) -> ControllerTiming {
        let mut timing = ControllerTiming::default();
        timing.replica.suspect_timeout =
            self.rules.suspect.unwrap_or(timing.replica.suspect_timeout);
        timing.quorum = self.rules.quorum;
        timing.quota = self.tails_bounds();
        timing.replica.min_chain_length = self.rules.copies;
        match self.rules.mutant {
            Some(Mutant::SkipFencing) => timing.replica.lease_duration = Milliseconds(0),
            Some(Mutant::IgnoreLease) => timing.lease = Milliseconds::seconds(60),
            Some(Mutant::ForgetHolders) => timing.lease = Milliseconds(0),
            _ => {}
        }
        timing
    }

    /// The number of a controller's next incarnation, by which its reads and proposals are numbered.
    fn controller_incarnation(&self, machine: usize) -> u64 {
        if self.rules.mutant == Some(Mutant::ReuseNumbers) {
            return 0;
        }
        let starts = self.controllers[machine].incarnation;
        mix(mix(self.rules.seed ^ machine as u64) ^ starts)
    }

    /// The state that a controller has before any record is applied.
    fn empty_config_state(&self) -> ConfigStateMachine {
        let max_entries = if self.rules.mutant == Some(Mutant::ForgetTooEarly) {
            2
        } else {
            MAX_HISTORY_ENTRIES
        };
        ConfigStateMachine {
            history: History::with_max_entries(max_entries),
            ..ConfigStateMachine::default()
        }
    }

    /// The controllers that a starting one knows: all founders, itself among them, at a founder's first start alone,
    /// as on the users' platform; later its seeds, or the other founders.
    fn known_controllers(&self, machine: usize, seeds: Option<Vec<Address>>) -> Vec<Address> {
        let m = &self.controllers[machine];
        let mut founders: Vec<Address> = (0..self.controller_count())
            .map(|n| Address::loopback(1001 + n as u16))
            .collect();
        let is_first = m.incarnation == 1 && founders.contains(&m.address);
        match (is_first, seeds) {
            (true, _) => founders,
            (false, Some(seeds)) => seeds,
            (false, None) => {
                founders.retain(|founder| *founder != m.address);
                founders
            }
        }
    }

    fn schedule_first_tick(&mut self, machine: usize) {
        let incarnation = self.controllers[machine].incarnation;
        self.put(
            1,
            Event::Tick {
                machine,
                incarnation,
            },
        );
    }

    /// Whom the settings of a machine that came later name: three of those that were there.
    pub(super) fn seeds_of(&self, machine: usize) -> Option<Vec<Address>> {
        let address = self.controllers[machine].address;
        let is_founder = usize::from(address.0.port()) < 1001 + self.controller_count();
        if !is_founder && self.rules.relays > 0 {
            return Some(self.settings_seeds.clone());
        }
        let others = self
            .controllers
            .iter()
            .filter(|m| !m.is_gone && m.address != address);
        (!is_founder).then(|| others.map(|m| m.address).take(3).collect())
    }

    /// Ends a controller's process. Of what was not synced, some may be on the disk all the same.
    pub(super) fn kill_controller(&mut self, machine: usize, is_power: bool) {
        let (keep, torn) = (self.below(3) as usize, self.draw() as usize);
        let keeps_unsynced = self.rules.mutant != Some(Mutant::SkipSync) && self.chance(50);
        let m = &mut self.controllers[machine];
        m.controller = None;
        m.incarnation += 1;
        m.late.clear();
        m.frozen_until = 0;
        self.connections.close_from(m.address);
        let pending = std::mem::take(&mut m.disk.pending);
        if is_power && !keeps_unsynced {
            return;
        }
        let mut pending = pending.into_iter();
        for (_, _, _, records, is_whole) in pending.by_ref().take(keep) {
            m.disk.keep(records, is_whole);
        }
        // The write at which it ended is torn: its first records are there. One in place of all is there or not.
        if let Some((_, _, _, mut records, false)) = pending.next() {
            records.truncate(torn % (records.len() + 1));
            m.disk.keep(records, false);
        }
    }

    pub(super) fn start_router(&mut self, machine: usize) {
        let incarnation = self.draw() >> 12;
        let seeds = self.settings_seeds.clone();
        let mut scheduler_rules = self.rules.scheduler.clone();
        if self.rules.mutant == Some(Mutant::SkipRamp) {
            scheduler_rules.slow_start_duration = Milliseconds(0);
        }
        if self.rules.mutant == Some(Mutant::FreeRepeats) {
            scheduler_rules.retry_percent = 300;
        }
        let m = &mut self.routers[machine];
        if m.node.is_some() || m.is_lost {
            return;
        }
        m.incarnation += 1;
        m.next_tick = 0;
        m.may_act_until = MonotonicInstant(0);
        m.contact = router_contact::RouterContact::default();
        let now = MonotonicInstant(self.now + m.offset);
        let old = m
            .old
            .take()
            .filter(|_| self.rules.mutant == Some(Mutant::SlideEpoch));
        let fresh = || {
            Node::new(
                m.address,
                m.zone.clone(),
                seeds,
                incarnation,
                NodeTiming::default(),
                scheduler_rules,
                now,
            )
        };
        m.node = Some(old.map_or_else(fresh, |(_, node)| node));
        let incarnation = m.incarnation;
        self.put(
            1,
            Event::NodeTick {
                machine,
                incarnation,
            },
        );
        self.put(
            5,
            Event::Polls {
                machine,
                incarnation,
            },
        );
    }

    pub(super) fn kill_router(&mut self, machine: usize) {
        let m = &mut self.routers[machine];
        m.node = None;
        m.incarnation += 1;
        m.late.clear();
        m.frozen_until = 0;
        self.connections.close_from(m.address);
        let orphans: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.router == machine)
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            self.abandon(&id);
        }
    }

    /// Whether the machine can take it now; if it's frozen, it's kept for when it wakes.
    pub(super) fn is_awake(&mut self, is_controller: bool, machine: usize, event: &Event) -> bool {
        let now = self.now;
        let (frozen_until, late) = if is_controller {
            let m = &mut self.controllers[machine];
            (m.frozen_until, &mut m.late)
        } else {
            let m = &mut self.routers[machine];
            (m.frozen_until, &mut m.late)
        };
        if now < frozen_until {
            late.push(event.clone());
            return false;
        }
        true
    }

    /// What came while a machine was frozen comes now, all at once.
    pub(super) fn wake(&mut self, is_controller: bool, machine: usize) {
        let late = if is_controller {
            std::mem::take(&mut self.controllers[machine].late)
        } else {
            std::mem::take(&mut self.routers[machine].late)
        };
        for event in late {
            self.put(0, event);
        }
    }

    pub(super) fn on_message(&mut self, to: Address, from: Address, mut message: Message) {
        let event = Event::Message {
            to,
            from,
            message: message.clone(),
        };
        if let Some(machine) = self.controllers.iter().position(|m| m.address == to) {
            if self.is_awake(true, machine, &event) {
                self.answer_twice(&message);
                self.step_controller(machine, ControllerInput::Message { from, message });
            }
        } else if let Some(machine) = self.routers.iter().position(|m| m.address == to)
            && self.is_awake(false, machine, &event)
        {
            self.restore_span(&mut message);
            self.spoil_grant(&mut message);
            self.routers[machine]
                .contact
                .on_received(self.now, &message);
            self.make_stale(to, &mut message);
            self.step_node(machine, NodeInput::Message { from, message });
        } else if let Some(machine) = self.relays.iter().position(|m| m.address == to) {
            self.step_relay(machine, DisklessControllerInput::Message { from, message });
        }
    }

    /// For the mutant: the lease that its tail counts as over at once runs as usual where it was given.
    fn restore_span(&self, message: &mut Message) {
        if self.rules.mutant == Some(Mutant::ForgetHolders)
            && let Message::LeaseResponse { response, .. } = message
            && let LeaseResponse::Lease { span, .. } = response.as_mut()
        {
            *span = ControllerTiming::default().lease;
        }
    }

    /// For the mutant: the lease of a poll's response without its news.
    fn make_stale(&mut self, to: Address, message: &mut Message) {
        if self.rules.mutant != Some(Mutant::StaleNews)
            || !to.0.port().is_multiple_of(3)
            || self.chance(2)
        {
            return;
        }
        let Some(node) = self
            .routers
            .iter()
            .find(|m| m.address == to)
            .and_then(|m| m.node.as_ref())
        else {
            return;
        };
        match message {
            Message::LeaseResponse { response, .. } => {
                let LeaseResponse::Lease { epoch, update, .. } = &mut **response else {
                    return;
                };
                *epoch = node.epoch();
                if let Some(update) = update {
                    (update.epoch, update.plan_epoch, update.withdrawn) =
                        (node.epoch(), node.plan_epoch(), node.withdrawn().to_vec());
                }
            }
            Message::ConfigUpdate { update } => {
                (update.epoch, update.plan_epoch, update.withdrawn) =
                    (node.epoch(), node.plan_epoch(), node.withdrawn().to_vec());
            }
            Message::PeerCheckRequest { epoch, .. } | Message::PeerCheckResponse { epoch, .. } => {
                *epoch = (*epoch).min(node.epoch());
            }
            _ => {}
        }
    }

    /// For the mutant: the second of two good answers goes to the operator.
    fn answer_twice(&mut self, message: &Message) {
        let Message::QueryResponse {
            number,
            status: 200,
            body,
        } = message
        else {
            return;
        };
        let Some((operator, is_answered)) = self.proposal_numbers.get_mut(number) else {
            return;
        };
        if std::mem::replace(is_answered, true) {
            let operator = *operator;
            self.on_operator_response(operator, 200, body);
        }
    }

    pub(super) fn on_tick(&mut self, machine: usize, incarnation: u64) {
        if self.controllers[machine].incarnation != incarnation {
            return;
        }
        if self.is_awake(
            true,
            machine,
            &Event::Tick {
                machine,
                incarnation,
            },
        ) {
            self.step_controller(machine, ControllerInput::ClockEvent);
            let m = &self.controllers[machine];
            let local = MonotonicInstant(self.now + m.offset);
            let pause = m.controller.as_ref().map_or(25, |controller| {
                local.until(controller.next_timer()).0.clamp(1, 100)
            });
            self.put(
                pause,
                Event::Tick {
                    machine,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn on_synced(&mut self, machine: usize, incarnation: u64, id: u64) {
        if self.controllers[machine].incarnation != incarnation
            || !self.is_awake(
                true,
                machine,
                &Event::Synced {
                    machine,
                    incarnation,
                    id,
                },
            )
        {
            return;
        }
        let m = &mut self.controllers[machine];
        while m
            .disk
            .pending
            .first()
            .is_some_and(|(_, _, pending, _, _)| *pending <= id)
        {
            let (_, _, _, records, is_whole) = m.disk.pending.remove(0);
            m.disk.keep(records, is_whole);
        }
        self.step_controller(machine, ControllerInput::Written { id });
    }

    /// A disk that was full takes writes again.
    pub(super) fn on_reopen(&mut self, machine: usize, incarnation: u64) {
        let now = self.now;
        let m = &mut self.controllers[machine];
        if m.incarnation != incarnation || m.controller.is_none() {
            return;
        }
        if now < m.disk.full_until {
            self.put(
                500,
                Event::Reopen {
                    machine,
                    incarnation,
                },
            );
            return;
        }
        m.controller = None;
        self.start_controller(machine);
    }

    pub(super) fn step_controller(&mut self, machine: usize, input: ControllerInput) {
        let m = &mut self.controllers[machine];
        let now = MonotonicInstant(self.now + m.offset);
        let (address, incarnation) = (m.address, m.incarnation);
        let Some(controller) = &mut m.controller else {
            return;
        };
        let outputs = controller.step(now, input);
        for output in outputs {
            match output {
                ControllerOutput::Send {
                    to,
                    is_bulk,
                    message,
                } => self.post(address, to, is_bulk, message),
                ControllerOutput::Write {
                    id,
                    records,
                    replaces_all: is_whole,
                } => self.write(machine, incarnation, id, records, is_whole),
                ControllerOutput::Response {
                    number,
                    status,
                    body,
                } => self.on_controller_response(machine, number, status, &body),
                ControllerOutput::ViewChanged(view) => self.witness.view(self.now, address, &view),
                ControllerOutput::ZoneChangeProposed { .. } => {}
            }
        }
    }

    fn write(
        &mut self,
        machine: usize,
        incarnation: u64,
        id: u64,
        records: Vec<Record>,
        is_whole: bool,
    ) {
        let jitter = self.below(4);
        let now = self.now;
        let m = &mut self.controllers[machine];
        if now < m.disk.full_until {
            // Said by the disk's own thread a moment later; here at once.
            m.disk.pending.clear();
            if let Some(controller) = &mut m.controller {
                let local = MonotonicInstant(now + m.offset);
                drop(controller.step(local, ControllerInput::DiskFault));
            }
            self.put(
                500,
                Event::Reopen {
                    machine,
                    incarnation,
                },
            );
            return;
        }
        // What comes while the disk is at work goes to it together afterwards, with one sync.
        let busy = m
            .disk
            .pending
            .first()
            .map_or(0, |(deadline, ..)| deadline.saturating_sub(now));
        let stall = m.disk.stalled_until.saturating_sub(now);
        let last = m
            .disk
            .pending
            .last()
            .map_or(0, |(deadline, ..)| deadline.saturating_sub(now));
        let deadline = (busy.max(stall) + m.disk.delay + jitter).max(last);
        m.disk
            .pending
            .push((now + deadline, incarnation, id, records, is_whole));
        if self.rules.mutant == Some(Mutant::SkipSync) {
            // Called synced at once; what is pending is lost with the power all the same.
            self.step_controller(machine, ControllerInput::Written { id });
        }
        self.put(
            deadline,
            Event::Synced {
                machine,
                incarnation,
                id,
            },
        );
        self.inject_in_write(machine);
    }

    pub(super) fn on_node_tick(&mut self, machine: usize, incarnation: u64) {
        if self.routers[machine].incarnation != incarnation {
            return;
        }
        if self.now >= self.routers[machine].next_tick
            && self.is_awake(
                false,
                machine,
                &Event::NodeTick {
                    machine,
                    incarnation,
                },
            )
        {
            self.routers[machine].next_tick = u64::MAX;
            self.step_node(machine, NodeInput::ClockEvent);
            let (now, m) = (self.now, &mut self.routers[machine]);
            if self.rules.mutant == Some(Mutant::SlideEpoch)
                && m.old.as_ref().is_none_or(|(at, _)| now - at > 9000)
            {
                m.old = m.node.clone().map(|node| (now, node));
            }
        }
    }

    /// Clock events come when something is due, as in a router's own loop.
    fn set_tick(&mut self, machine: usize) {
        let m = &mut self.routers[machine];
        let Some(node) = &m.node else { return };
        let deadline = self.now
            + MonotonicInstant(self.now + m.offset)
                .until(node.next_timer())
                .0
                .clamp(1, 250);
        if deadline < m.next_tick {
            m.next_tick = deadline;
            let incarnation = m.incarnation;
            self.put(
                deadline - self.now,
                Event::NodeTick {
                    machine,
                    incarnation,
                },
            );
        }
    }

    /// A node reads the platform's list and the servers' reports.
    pub(super) fn on_polls(&mut self, machine: usize, incarnation: u64) {
        if self.routers[machine].incarnation != incarnation {
            return;
        }
        if !self.is_awake(
            false,
            machine,
            &Event::Polls {
                machine,
                incarnation,
            },
        ) {
            return;
        }
        self.put(
            400,
            Event::Polls {
                machine,
                incarnation,
            },
        );
        if self.routers[machine].is_cut_off {
            return;
        }
        let seen = self.now.saturating_sub(700);
        let list = self
            .platform
            .iter()
            .rev()
            .find(|(at, _)| *at <= seen)
            .or(self.platform.front());
        let mut servers = list.map(|(_, list)| list.clone()).unwrap_or_default();
        if self.rules.mutant == Some(Mutant::IgnoreLeaving) {
            servers
                .iter_mut()
                .for_each(|entry| entry.is_draining = false);
        }
        self.step_node(
            machine,
            NodeInput::Event(SchedulerEvent::ServerList { servers }),
        );
        let now = MonotonicInstant(self.now);
        let reports: Vec<SchedulerEvent> = self
            .servers
            .iter()
            .filter_map(|server| self.report_of(server, now))
            .collect();
        for report in reports {
            self.step_node(machine, NodeInput::Event(report));
        }
    }

    fn report_of(&self, server: &ServerMachine, now: MonotonicInstant) -> Option<SchedulerEvent> {
        if !server.is_up {
            return server.is_listed.then(|| SchedulerEvent::Unreachable {
                server: server.name.clone(),
            });
        }
        if server.is_dark {
            return None;
        }
        let (running, waiting) = server.schedule.load(now);
        Some(SchedulerEvent::Load {
            server: server.name.clone(),
            incarnation: server.incarnation,
            up: Milliseconds(
                self.now - server.started + if server.started == 0 { 600_000 } else { 0 },
            ),
            running,
            waiting,
            slots: server.schedule.slots() as u32,
            weights: "w1".into(),
        })
    }

    pub(super) fn step_node(&mut self, machine: usize, input: NodeInput) -> Vec<NodeOutput> {
        let m = &mut self.routers[machine];
        let now = MonotonicInstant(self.now + m.offset);
        let (address, incarnation) = (m.address, m.incarnation);
        let Some(node) = &mut m.node else {
            return vec![];
        };
        let is_asked = matches!(input, NodeInput::Place(_));
        let outputs = node.step(now, input);
        m.may_act_until = node.may_act_until(now);
        self.set_tick(machine);
        let mut places = vec![];
        for output in outputs {
            match output {
                NodeOutput::Send {
                    to,
                    is_bulk,
                    message,
                } => self.post(address, to, is_bulk, message),
                NodeOutput::Decision(_, decision) => {
                    if let Decision::Placed { epoch, .. } = &decision {
                        self.witness.placed(self.now, address, *epoch);
                    }
                }
                NodeOutput::Read { plan_epoch, bytes } => {
                    let plan = config::parse_plan(&bytes).map(std::sync::Arc::new);
                    self.step_node(
                        machine,
                        NodeInput::Plan {
                            plan_epoch,
                            plan,
                            bytes,
                        },
                    );
                }
                NodeOutput::Kv(task) => self.on_kv(machine, task),
                NodeOutput::Place { number, outcome } if !is_asked => {
                    self.put(
                        0,
                        Event::Placed {
                            machine,
                            incarnation,
                            number,
                            outcome,
                        },
                    );
                }
                NodeOutput::Place { .. } | NodeOutput::Resume { .. } => places.push(output),
                // These nodes are given the list.
                NodeOutput::ReadList(_) | NodeOutput::Event(_) | NodeOutput::Log(_) => {}
            }
        }
        places
    }
}

impl SimDisk {
    pub(super) fn keep(&mut self, records: Vec<Record>, is_whole: bool) {
        if is_whole {
            self.durable.clear();
        }
        self.durable.extend(records);
    }
}
