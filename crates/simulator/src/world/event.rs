//! The events of the simulated world, and which part of it handles each.

use crate::world::World;
use crate::world::connections;
use types::{Address, RequestId, RunId, ServerName, ZoneName};
use wire::Message;

/// Something that happens at a moment of virtual time.
#[derive(Debug, Clone)]
#[allow(clippy::large_enum_variant)] // Most events are messages.
pub(super) enum Event {
    Message {
        to: Address,
        from: Address,
        message: Message,
    },
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Synced {
        machine: usize,
        incarnation: u64,
        id: u64,
    },
    Reopen {
        machine: usize,
        incarnation: u64,
    },
    NodeTick {
        machine: usize,
        incarnation: u64,
    },
    Polls {
        machine: usize,
        incarnation: u64,
    },
    Arrival,
    /// A request that waited for credit of its tenant's quota is placed or turned away.
    Placed {
        machine: usize,
        incarnation: u64,
        number: u64,
        outcome: Result<router::Placement, router::Rejection>,
    },
    Connected {
        request: RequestId,
        server: usize,
        run: RunId,
    },
    RunReaches {
        request: RequestId,
        server: usize,
        run: RunId,
    },
    RunOutcome {
        request: RequestId,
        failure: Option<router::Failure>,
    },
    OtherIncarnation {
        request: RequestId,
        server: ServerName,
    },
    Watch {
        request: RequestId,
    },
    Resume {
        request: RequestId,
    },
    Operate,
    /// A connection's bytes are sent again.
    SendBytesAgain {
        key: connections::LineKey,
        stall: u64,
    },
    /// An operator's call reaches a controller, which may read it later.
    CallReaches {
        machine: usize,
        incarnation: u64,
        call: u64,
        arrived_at: u64,
    },
    /// An operator's connection is closed.
    ConnectionClosed {
        machine: usize,
        incarnation: u64,
        call: u64,
    },
    /// A call of an operator is still without an answer.
    CallTimeout {
        call: u64,
    },
    /// An operator retries a call.
    SendAgain {
        task: u64,
    },
    /// A fault is injected that waited for something.
    InjectArmed {
        place: usize,
        machine: usize,
    },
    /// An old machine ends, after its successor came.
    RetireController {
        machine: usize,
    },
    /// Operators reach a machine as it returns.
    ControllerReturns {
        machine: usize,
    },
    /// An operator restores a zone that it had evacuated.
    RestoreZone {
        zone: ZoneName,
        machine: usize,
    },
    InjectFault {
        place: usize,
    },
    Heal {
        place: usize,
    },
    StartController {
        machine: usize,
    },
    StartRouter {
        machine: usize,
    },
    StartRelay {
        machine: usize,
    },
    RelayTick {
        machine: usize,
        incarnation: u64,
    },
    /// Running processes read their settings' seeds.
    ReadSettings,
    StartServer {
        server: usize,
    },
    ReplaceServer {
        server: usize,
    },
    Check,
    Probe,
    Forget {
        place: usize,
    },
}

impl World {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Message { to, from, message } => self.on_message(to, from, message),
            Event::StartRelay { machine } => self.start_relay(machine),
            Event::RelayTick {
                machine,
                incarnation,
            } => self.on_relay_tick(machine, incarnation),
            Event::ReadSettings => self.on_read_settings(),
            Event::Tick {
                machine,
                incarnation,
            } => self.on_tick(machine, incarnation),
            Event::Synced {
                machine,
                incarnation,
                id,
            } => self.on_synced(machine, incarnation, id),
            Event::Reopen {
                machine,
                incarnation,
            } => self.on_reopen(machine, incarnation),
            Event::NodeTick {
                machine,
                incarnation,
            } => self.on_node_tick(machine, incarnation),
            Event::Polls {
                machine,
                incarnation,
            } => self.on_polls(machine, incarnation),
            Event::Arrival => self.on_arrival(),
            Event::Placed {
                machine,
                incarnation,
                number,
                outcome,
            } => self.on_placed(machine, incarnation, number, outcome),
            Event::Connected {
                request,
                server,
                run,
            } => self.on_connected(request, server, run),
            Event::RunReaches {
                request,
                server,
                run,
            } => self.on_run_reaches(request, server, run),
            Event::RunOutcome { request, failure } => self.on_run_outcome(request, failure),
            Event::OtherIncarnation { request, server } => {
                self.on_other_incarnation(request, server);
            }
            Event::Watch { request } => self.on_watch(request),
            Event::Resume { request } => self.on_resume(request),
            Event::SendBytesAgain { key, stall } => self.on_send_bytes_again(key, stall),
            Event::Operate => self.on_operate(),
            Event::CallReaches {
                machine,
                incarnation,
                call,
                arrived_at,
            } => self.on_call_reaches(machine, incarnation, call, arrived_at),
            Event::ConnectionClosed {
                machine,
                incarnation,
                call,
            } => self.on_connection_closed(machine, incarnation, call),
            Event::CallTimeout { call } => self.on_call_timeout(call),
            Event::SendAgain { task } => self.send_call(task),
            Event::InjectArmed { place, machine } => self.inject_armed(place, machine),
            Event::RetireController { machine } => self.on_retire_controller(machine),
            Event::ControllerReturns { machine } => self.on_controller_returns(machine),
            Event::RestoreZone { zone, machine } => self.on_restore_zone(zone, machine),
            Event::InjectFault { place } => self.inject_fault(place),
            Event::Heal { place } => self.heal(place),
            Event::StartController { machine } => self.start_controller(machine),
            Event::StartRouter { machine } => self.start_router(machine),
            Event::StartServer { server } => self.start_server(server),
            Event::ReplaceServer { server } => self.replace_server(server),
            Event::Check => self.on_check(),
            Event::Probe => self.on_probe(),
            Event::Forget { place } => self.on_forget(place),
        }
    }
}
