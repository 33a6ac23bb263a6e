//! The door for clients of another dialect than the product's own.

use crate::call::CallDialect;
use crate::call_limits::{CallLimits, MOST_TO_ONE_SERVER};
use crate::forward::Forwarder;
use crate::settings::Settings;
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use transport::{Gate, GateBounds, GateCloser, Lines, LinesBounds, Request, Response};
use types::{Address, Clock, ResultCode, Span};

/// Open doors: one for clients, one for the question whether this node is ready.
pub(crate) struct Ingress {
    closers: Vec<GateCloser>,
    open_count: Arc<AtomicUsize>,
    /// Where clients reach it, and where its readiness is told.
    #[cfg(test)]
    pub addresses: (Address, Address),
}

const START_LOOK: Span = Span(5);

fn await_ready(shared: &Shared, patience: Span) {
    let deadline = Clock::now() + patience;
    while !shared.is_ready.load(Ordering::SeqCst) && Clock::now() < deadline {
        std::thread::sleep(START_LOOK.duration());
    }
}

impl Ingress {
    /// Opens the doors.
    pub fn open(
        settings: &Settings,
        shared: Arc<Shared>,
        dialect: Arc<dyn CallDialect>,
    ) -> Result<Ingress, String> {
        let listen: Address = settings.ingress.parse()?;
        let probed: Address = settings.readiness.parse()?;
        let bounds = GateBounds {
            connections: settings.requests as usize * 2 + 64,
            body_bytes: 8 << 20,
            read_span: Span::seconds(10),
            keep_alive: true,
            idle_span: Span::seconds(30),
            header_bytes: 64 << 10,
            ..GateBounds::default()
        };
        let gate =
            Gate::open(listen.0, bounds).map_err(|fault| format!("ingress = {listen}: {fault}"))?;
        let bounds = GateBounds {
            connections: 32,
            body_bytes: 1 << 10,
            ..bounds
        };
        let probe_gate = Gate::open(probed.0, bounds)
            .map_err(|fault| format!("readiness = {probed}: {fault}"))?;
        let lines = Lines::new(LinesBounds {
            per_address: MOST_TO_ONE_SERVER,
            idle_per_address: MOST_TO_ONE_SERVER / 2,
            idle_span: Span::seconds(20),
        });
        let limits = CallLimits::new(gate.limiter(), lines.clone());
        if shared.limits.set(Arc::new(limits)).is_err() {
            return Err("a node has one gate of clients".into());
        }
        let (shared_by_gate, patience) = (shared.clone(), Span(settings.start_wait_ms));
        let forwarder = Arc::new(Forwarder {
            shared: shared.clone(),
            dialect: dialect.clone(),
            lines,
            #[cfg(test)]
            mutant: None,
        });
        let addresses = (gate.address(), probe_gate.address());
        let (closers, open_count) = (vec![gate.closer(), probe_gate.closer()], gate.open_count());
        let serve = move || {
            await_ready(&shared_by_gate, patience);
            gate.serve(move |request| forwarder.respond(request));
        };
        std::thread::Builder::new()
            .name("ingress".into())
            .spawn(serve)
            .map_err(|fault| fault.to_string())?;
        let tell_ready = move |request: Request| match (
            dialect.is_probe(&request),
            shared.is_ready.load(Ordering::SeqCst),
        ) {
            (true, true) => Response::whole(200, "text/plain", "ready\n"),
            (true, false) => Response::whole(503, "text/plain", "not ready\n"),
            (false, _) => Response::result(ResultCode::NotFound, "only readiness is told here"),
        };
        let serve = move || probe_gate.serve(tell_ready);
        std::thread::Builder::new()
            .name("readiness".into())
            .spawn(serve)
            .map_err(|fault| fault.to_string())?;
        tracing::info!(
            "ingress: listens at {}, readiness {}.",
            addresses.0,
            addresses.1
        );
        Ok(Ingress {
            closers,
            open_count,
            #[cfg(test)]
            addresses,
        })
    }
    /// Clients are to go elsewhere: each answer says so.
    pub fn leave(&self) {
        self.closers[0].leave();
    }
    /// No more connections are taken.
    pub fn close(&self) {
        self.closers.iter().for_each(GateCloser::close);
    }
    /// How many connections of clients are open.
    pub fn open_count(&self) -> usize {
        self.open_count.load(Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests;
