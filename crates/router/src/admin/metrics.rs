use std::sync::atomic::{AtomicU64, Ordering};
use transport::BudgetUsage;
use types::ResultCode;

macro_rules! metrics {
    ($($(#[$meta:meta])* $name:ident: $kind:literal,)*) => {
        /// What a router counts.
        #[derive(Debug, Default)]
        pub struct Metrics {
            $($(#[$meta])* pub $name: AtomicU64,)*
        }

        impl Metrics {
            /// As metrics text.
            pub fn text(&self) -> String {
                let mut text = String::new();
                $(
                    let (name, value) = (stringify!($name), self.$name.load(Ordering::Relaxed));
                    text.push_str(&format!(concat!("# TYPE router_{} ", $kind, "\nrouter_{} {}\n"), name, name, value));
                )*
                text
            }
        }
    };
}

metrics! {
    /// Requests read.
    received: "counter",
    /// Streams and pages that ended whole.
    complete: "counter",
    /// Refusals.
    refused: "counter",
    /// Refusals of requests without a key that is known.
    unauthorized: "counter",
    /// Refusals of requests beyond their tenant's quota.
    over_quota: "counter",
    /// Refusals of requests since the core did not tell whether a quota has room.
    quota_unknown: "counter",
    /// Streams that broke.
    broken: "counter",
    /// Requests whose fate is unknown.
    unknown: "counter",
    /// Repeats at further servers.
    repeats: "counter",
    /// Streams read on.
    resumed: "counter",
    /// Copies ordered.
    copies: "counter",
    /// Prompts placed on a warm server.
    placed_warm: "counter",
    /// Prompts placed by cache match.
    placed_match: "counter",
    /// Prompts placed otherwise.
    placed_other: "counter",
    /// Requests in hand.
    in_hand: "gauge",
    /// The newest epoch held whole.
    epoch: "gauge",
    /// Whether this node may act: 1 or 0.
    may_act: "gauge",
    /// Clients that went away early.
    gone: "counter",
    /// Requests that were read only after their deadline.
    expired: "counter",
    /// Streams in which a server sent what is no event of them.
    malformed_streams: "counter",
    /// Open connections at all listeners.
    connections: "gauge",
    /// Bytes held for requests and answers.
    content_bytes: "gauge",
    /// Connections closed unread, since there was no place for them.
    refused_connections: "counter",
    /// Connections closed to make room for others.
    evicted_connections: "counter",
    /// Requests, answers and messages for which there was no memory.
    refused_memory: "counter",
}

impl Metrics {
    /// Takes over what the budget of the process counts.
    pub fn set_budget(&self, usage: &BudgetUsage) {
        for (metric, value) in [
            (&self.connections, usage.connections),
            (&self.content_bytes, usage.content_bytes),
            (&self.refused_connections, usage.refused_connections),
            (&self.evicted_connections, usage.evicted_connections),
            (&self.refused_memory, usage.refused_memory),
        ] {
            metric.store(value, Ordering::Relaxed);
        }
    }
    /// A request is turned away, or its fate is unknown.
    pub fn refuse(&self, code: ResultCode) {
        Metrics::more(if code.is_refusal() {
            &self.refused
        } else {
            &self.unknown
        });
        match code {
            ResultCode::Unauthorized => Metrics::more(&self.unauthorized),
            ResultCode::OverQuota => Metrics::more(&self.over_quota),
            ResultCode::QuotaUnknown => Metrics::more(&self.quota_unknown),
            _ => {}
        }
    }
    /// One more.
    pub fn more(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
