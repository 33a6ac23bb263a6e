use crate::discovery::endpoint_list::EndpointListTiming;
use config::{validate_address, validate_addresses, validate_name, validate_range};
use placement::SchedulerRules;
use schematic::Config;
use types::Milliseconds;

/// A router's settings file.
#[derive(Debug, Clone, Config)]
pub struct Settings {
    /// Where its own interface is, for clients and probes, and for operators' looks: IP number and port.
    #[setting(default = "127.0.0.1:7100", validate = validate_address)]
    pub listen: String,
    /// Where our own processes reach it: IP number and port.
    #[setting(default = "127.0.0.1:7101", validate = validate_address)]
    pub inner: String,
    /// Where clients of another dialect reach it; used only where there is one.
    #[setting(default = "127.0.0.1:7102", validate = validate_address)]
    pub ingress: String,
    /// Where it's asked in that dialect whether it's ready; may be the same.
    #[setting(default = "127.0.0.1:7103", validate = validate_address)]
    pub readiness: String,
    /// Its zone.
    #[setting(default = "here", validate = validate_name)]
    pub zone: String,
    /// Inner addresses of up to three controllers to ask first.
    #[setting(validate = validate_addresses)]
    pub seeds: Vec<String>,
    /// Where the platform's list of servers is: IP number and port.
    #[setting(default = "127.0.0.1:7200", validate = validate_address)]
    pub platform: String,
    /// Calls a second that the platform's list bears from the whole fleet.
    #[setting(default = 50, validate = validate_range(1, 1_000_000))]
    pub list_rate: u64,
    /// Between readings of the platform's list by one node, in ms.
    #[setting(default = 1000, validate = validate_range(100, 60_000))]
    pub list_ms: u64,
    /// How far the platform's list may lag behind, in ms.
    #[setting(default = 0, validate = validate_range(0, 60_000))]
    pub list_lag_ms: u64,
    /// A node that has not heard for this long what its zone's collector reads there reads it itself, in ms.
    #[setting(default = 2000, validate = validate_range(100, 60_000))]
    pub list_silence_ms: u64,
    /// Memory that the process may use, in bytes. What clients, probes, operators and peers can make it hold is bounded by
    /// it.
    #[setting(default = 1_000_000_000, validate = validate_range(48_000_000, 1_000_000_000_000))]
    pub memory_bytes: u64,
    /// Descriptors that the process may have open, which bound its connections.
    #[setting(default = 3_900, validate = validate_range(128, 1_000_000))]
    pub descriptors: u64,
    /// Requests in hand at most; more are refused at once.
    #[setting(default = 400, validate = validate_range(1, 1_000_000))]
    pub requests: u64,
    /// Bytes of a prompt that make one block.
    #[setting(default = 64, validate = validate_range(1, 1_000_000))]
    pub block_bytes: u64,
    /// A stream without a piece for this long is broken, in ms.
    #[setting(default = 10_000, validate = validate_range(1, 1_000_000))]
    pub stall_ms: u64,
    /// Clients who come while it starts wait unread for this long at most, in ms: an unread request can go to
    /// another node without any doubt, and most nodes are ready within a tenth of a second.
    #[setting(default = 700, validate = validate_range(0, 60_000))]
    pub start_wait_ms: u64,
    /// Told to stop, it's not ready at once, but takes whatever is still sent to it for this long, in ms: whoever
    /// hands clients out sees readiness late. In the first two thirds of `drain_ms` behind that, it takes calls that must end
    /// before it does.
    #[setting(default = 1500, validate = validate_range(0, 60_000))]
    pub linger_ms: u64,
    /// Then what is in hand may take this long to finish, in ms.
    #[setting(default = 60_000, validate = validate_range(1, 3_600_000))]
    pub drain_ms: u64,
    /// Decisions, and events, that are kept to be read back.
    #[setting(default = 8000, validate = validate_range(1, 1_000_000))]
    pub journal_lines: u64,
    /// Whether sketches of other routers count.
    #[setting(default = true)]
    pub merge: bool,
    /// Whether requests are refused by their expected first-token time.
    #[setting(default = true)]
    pub admit: bool,
    /// Whether servers take orders to copy KV; if not, real requests warm them.
    #[setting(default = true)]
    pub copy_orders: bool,
    /// Real requests warm further servers only once the holders' first pieces are expected later than this, in
    /// ms.
    #[setting(default = 0, validate = validate_range(0, 60_000))]
    pub warm_from_ms: u64,
    /// Repeats that a service's traffic earns, in percent of it.
    #[setting(default = 20, validate = validate_range(0, 1000))]
    pub repeat_percent: u64,
    /// Repeats are bounded in each window of this length, in ms; 0: by the minute.
    #[setting(default = 0, validate = validate_range(0, 600_000))]
    pub repeat_window_ms: u64,
    /// Repeats that a service may have in such a window besides, over the whole fleet.
    #[setting(default = 0, validate = validate_range(0, 1_000_000))]
    pub repeats_in_window: u64,
    /// What a server in another zone is held to cost, as time, in ms.
    #[setting(default = 0, validate = validate_range(0, 60_000))]
    pub zone_bias_ms: u64,
    /// How long a server takes to read 16 tokens of a prompt, in microseconds, until it has been seen.
    #[setting(default = 2500, validate = validate_range(1, 1_000_000))]
    pub block_micros: u64,
    /// What reading a token that another server holds is held to cost, in percent of the time that it takes.
    #[setting(default = 100, validate = validate_range(0, 100_000))]
    pub prefill_percent: u64,
    /// Servers whose costs differ by no more than this are equal, in ms.
    #[setting(default = 20, validate = validate_range(0, 60_000))]
    pub hysteresis_ms: u64,
    /// The fleet is taken to have at least so many members where cold servers are shared out.
    #[setting(default = 1, validate = validate_range(1, 1_000_000))]
    pub members_least: u64,
    /// A server's own report of its requests counts for this long, in ms.
    #[setting(default = 2000, validate = validate_range(1, 60_000))]
    pub report_life_ms: u64,
    /// A first piece may come this much later than expected before it speaks against its server, in ms.
    #[setting(default = 400, validate = validate_range(1, 60_000))]
    pub lag_slack_ms: u64,
}

impl Settings {
    /// What of them the list of servers is read by.
    pub fn endpoint_list_timing(&self) -> EndpointListTiming {
        EndpointListTiming {
            reading_interval: Milliseconds(self.list_ms),
            collector_timeout: Milliseconds(self.list_silence_ms),
            max_calls_per_second: self.list_rate,
            list_lag: Milliseconds(self.list_lag_ms),
            ..EndpointListTiming::default()
        }
    }
    /// What of them the scheduler goes by.
    pub fn scheduler_rules(&self) -> SchedulerRules {
        SchedulerRules {
            merges_peer_sketches: self.merge,
            enforces_deadlines: self.admit,
            orders_kv_copies: self.copy_orders,
            warming_threshold: Milliseconds(self.warm_from_ms),
            retry_percent: self.repeat_percent as u32,
            retry_window: Milliseconds(self.repeat_window_ms),
            retries_per_window: self.repeats_in_window as u32,
            zone_penalty: Milliseconds(self.zone_bias_ms),
            block_micros: self.block_micros,
            prefill_percent: self.prefill_percent as u32,
            hysteresis: Milliseconds(self.hysteresis_ms),
            min_members: self.members_least as u32,
            report_lifetime: Milliseconds(self.report_life_ms),
            lag_slack: Milliseconds(self.lag_slack_ms),
            ..SchedulerRules::default()
        }
    }
}
