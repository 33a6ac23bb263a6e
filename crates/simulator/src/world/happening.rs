//! What is to happen, and who takes it.

use super::*;
use crate::world::World;
use types::{Address, RequestId, RunId, ServerName, ZoneName};

/// What is to happen.
#[derive(Debug, Clone)]
#[allow(clippy::large_enum_variant)] // Most happenings are letters.
pub(super) enum Happening {
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
    OtherLife {
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
    /// An operator's call reaches a controller.
    CallReaches {
        machine: usize,
        incarnation: u64,
        call: u64,
    },
    /// An operator's connection is closed.
    HangUp {
        machine: usize,
        incarnation: u64,
        call: u64,
    },
    /// An operator has heard nothing of a call.
    Silence {
        call: u64,
    },
    /// An operator sends the same again.
    SendAgain {
        task: u64,
    },
    /// A fault that waited for something.
    StrikeArmed {
        place: usize,
        machine: usize,
    },
    /// An old machine ends, after its successor came.
    Retire {
        machine: usize,
    },
    /// Operators reach a machine as it returns.
    Meet {
        machine: usize,
    },
    /// An operator restores a zone that it had evacuated.
    TakeBack {
        zone: ZoneName,
        machine: usize,
    },
    Strike {
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
    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Message { to, from, message } => self.on_message(to, from, message),
            Happening::StartRelay { machine } => self.start_relay(machine),
            Happening::RelayTick {
                machine,
                incarnation,
            } => self.on_relay_tick(machine, incarnation),
            Happening::ReadSettings => self.on_read_settings(),
            Happening::Tick {
                machine,
                incarnation,
            } => self.on_tick(machine, incarnation),
            Happening::Synced {
                machine,
                incarnation,
                id,
            } => self.on_synced(machine, incarnation, id),
            Happening::Reopen {
                machine,
                incarnation,
            } => self.on_reopen(machine, incarnation),
            Happening::NodeTick {
                machine,
                incarnation,
            } => self.on_node_tick(machine, incarnation),
            Happening::Polls {
                machine,
                incarnation,
            } => self.on_polls(machine, incarnation),
            Happening::Arrival => self.on_arrival(),
            Happening::Placed {
                machine,
                incarnation,
                number,
                outcome,
            } => self.on_placed(machine, incarnation, number, outcome),
            Happening::Connected {
                request,
                server,
                run,
            } => self.on_connected(request, server, run),
            Happening::RunReaches {
                request,
                server,
                run,
            } => self.on_run_reaches(request, server, run),
            Happening::RunOutcome { request, failure } => self.on_run_outcome(request, failure),
            Happening::OtherLife { request, server } => self.on_other_life(request, server),
            Happening::Watch { request } => self.on_watch(request),
            Happening::Resume { request } => self.on_resume(request),
            Happening::SendBytesAgain { key, stall } => self.on_send_bytes_again(key, stall),
            Happening::Operate => self.on_operate(),
            Happening::CallReaches {
                machine,
                incarnation,
                call,
            } => self.on_call_reaches(machine, incarnation, call),
            Happening::HangUp {
                machine,
                incarnation,
                call,
            } => self.on_hang_up(machine, incarnation, call),
            Happening::Silence { call } => self.on_silence(call),
            Happening::SendAgain { task } => self.send_call(task),
            Happening::StrikeArmed { place, machine } => self.strike_armed(place, machine),
            Happening::Retire { machine } => self.on_retire(machine),
            Happening::Meet { machine } => self.on_meet(machine),
            Happening::TakeBack { zone, machine } => self.on_take_back(zone, machine),
            Happening::Strike { place } => self.strike(place),
            Happening::Heal { place } => self.heal(place),
            Happening::StartController { machine } => self.start_controller(machine),
            Happening::StartRouter { machine } => self.start_router(machine),
            Happening::StartServer { server } => self.start_server(server),
            Happening::ReplaceServer { server } => self.replace_server(server),
            Happening::Check => self.on_check(),
            Happening::Probe => self.on_probe(),
            Happening::Forget { place } => self.on_forget(place),
        }
    }
}
