//! The door for clients of another dialect than the product's own.

use crate::dialect::CallDialect;
use crate::downstream::budget::RouterBudget;
use crate::downstream::limits::{ConnectionLimits, MOST_TO_ONE_SERVER};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::upstream::forwarding::Forwarder;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use transport::{
    ConnectionPool, ConnectionPoolBounds, HttpServer, HttpServerBounds, HttpServerCloser, Request,
    Response,
};
use types::{Address, Clock, Milliseconds, ResultCode};

/// Open listeners: one for clients, one for the question whether this node is ready.
pub(crate) struct Ingress {
    closers: Vec<HttpServerCloser>,
    open_count: Arc<AtomicUsize>,
    /// Where clients reach it, and where its readiness is told.
    #[cfg(test)]
    pub addresses: (Address, Address),
}

const START_LOOK: Milliseconds = Milliseconds(5);

fn await_ready(shared: &Shared, patience: Milliseconds) {
    let deadline = Clock::now() + patience;
    while !shared.is_ready.load(Ordering::SeqCst) && Clock::now() < deadline {
        std::thread::sleep(START_LOOK.duration());
    }
}

impl Ingress {
    /// Opens the listeners.
    pub(crate) fn open(
        settings: &Settings,
        shared: Arc<Shared>,
        dialect: Arc<dyn CallDialect>,
        budget: &RouterBudget,
    ) -> Result<Ingress, String> {
        let listen: Address = settings.ingress.parse()?;
        let probed: Address = settings.readiness.parse()?;
        let bounds = HttpServerBounds {
            connections: settings.requests as usize * 2 + 64,
            body_bytes: 8 << 20,
            read_timeout: Milliseconds::seconds(10),
            keep_alive: true,
            idle_timeout: Milliseconds::seconds(30),
            header_bytes: 64 << 10,
            ..HttpServerBounds::default()
        };
        let http_server = HttpServer::open_within(listen.0, bounds, budget.ingress.clone())
            .map_err(|fault| format!("ingress = {listen}: {fault}"))?;
        let bounds = HttpServerBounds {
            connections: 32,
            body_bytes: 1 << 10,
            ..bounds
        };
        let probe_gate = HttpServer::open_within(probed.0, bounds, budget.readiness.clone())
            .map_err(|fault| format!("readiness = {probed}: {fault}"))?;
        let lines = ConnectionPool::new(ConnectionPoolBounds {
            max_per_address: MOST_TO_ONE_SERVER,
            max_idle_per_address: MOST_TO_ONE_SERVER / 2,
            idle_timeout: Milliseconds::seconds(20),
        });
        lines.set_max_total(budget.limits.max_server_connections);
        let limits = ConnectionLimits::new(http_server.limiter(), lines.clone());
        if shared.limits.set(Arc::new(limits)).is_err() {
            return Err("a node has one gate of clients".into());
        }
        let (shared_by_gate, patience) = (shared.clone(), Milliseconds(settings.start_wait_ms));
        let forwarder = Arc::new(Forwarder {
            shared: shared.clone(),
            dialect: dialect.clone(),
            pool: lines,
            #[cfg(test)]
            mutant: None,
        });
        let addresses = (http_server.address(), probe_gate.address());
        let (closers, open_count) = (
            vec![http_server.closer(), probe_gate.closer()],
            http_server.open_count(),
        );
        let serve = move || {
            await_ready(&shared_by_gate, patience);
            http_server.serve(move |request| forwarder.respond(request));
        };
        std::thread::Builder::new()
            .name("ingress".into())
            .spawn(serve)
            .map_err(|fault| fault.to_string())?;
        let answer_probe = move |request: Request| {
            if dialect.is_probe(&request) {
                shared.readiness()
            } else {
                Response::result(ResultCode::NotFound, "only readiness is told here")
            }
        };
        let serve = move || probe_gate.serve(answer_probe);
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
    pub(crate) fn leave(&self) {
        self.closers[0].drain();
    }
    /// No more connections are taken.
    pub(crate) fn close(&self) {
        self.closers.iter().for_each(HttpServerCloser::close);
    }
    /// How many connections of clients are open.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count.load(Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests;
