//! The settings of placement: by service, by plan, and of the scheduler itself.
//!
//! Source of X, Y, Z and M: the paper's four constants (BTB, docs/provenance.md).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::{ConfigEpoch, Milliseconds, ServerName, ServiceName, ZoneName};

/// The settings of BTB for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BtbRules {
    /// Whether bursts are acted on at all; without, placement is plain cache awareness.
    pub is_on: bool,
    /// Y: blocks of the prefix that is counted.
    pub blocks: u32,
    /// X: arrivals that make it active.
    pub arrivals: u32,
    /// Z: within this window.
    pub window: Milliseconds,
    /// M: servers that are to hold it, the first holder among them.
    pub copies: u32,
    /// While all of those are full, one more at a time up to this.
    pub most_copies: u32,
}

impl Default for BtbRules {
    fn default() -> Self {
        BtbRules {
            is_on: true,
            blocks: 64,
            arrivals: 4,
            window: Milliseconds::seconds(5),
            copies: 3,
            most_copies: 6,
        }
    }
}

/// What the plan says of one service, as far as placement goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRules {
    /// The pool of servers that serves it.
    pub pool: String,
    /// Zones whose servers may serve it; empty: all.
    pub zones: Vec<ZoneName>,
    /// The servers that may; empty: all of the pool.
    pub servers: Vec<ServerName>,
    /// The first token must be expected within this, in ms.
    pub first_token: Milliseconds,
    /// Requests that one server may have in flight from the whole fleet.
    pub slots: u32,
    /// Bursts of one prefix.
    pub btb: BtbRules,
    /// Requests a second that the fleet may send a server that warms up; zero: there is no such bound.
    #[serde(default)]
    #[serde(rename = "cold_per_second")]
    pub warm_up_per_second: u32,
    /// How long a server warms up after its start, in ms, unless the list says so.
    #[serde(default)]
    #[serde(rename = "cold_span")]
    pub warm_up_duration: Milliseconds,
    /// Tokens that a server's memory holds; zero: unknown.
    #[serde(default)]
    pub memory_tokens: u64,
}

/// The configuration in force, as far as placement goes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// The epoch of this configuration.
    pub epoch: ConfigEpoch,
    /// Allowed services.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Zones that get no new work.
    pub withdrawn: Vec<ZoneName>,
}

/// What the plan does not set: how the scheduler itself works.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SchedulerRules {
    /// Whether sketches of others count.
    #[serde(rename = "does_merge")]
    pub merges_peer_sketches: bool,
    /// Whether requests are refused by expected first-token time.
    #[serde(rename = "does_admit")]
    pub enforces_deadlines: bool,
    /// Slow start: a new server reaches its full cap after this, in ms.
    #[serde(rename = "ramp")]
    pub slow_start_duration: Milliseconds,
    /// Slow start: requests that the fleet may have in flight at a new server at first.
    #[serde(rename = "ramp_start")]
    pub slow_start_initial_cap: u32,
    /// A sketch older than this counts no more.
    #[serde(rename = "sketch_life")]
    pub sketch_lifetime: Milliseconds,
    /// A copy is taken for resident this long after it was ordered.
    #[serde(rename = "copy_span")]
    pub copy_duration: Milliseconds,
    /// An active prefix cools when nothing came for this long.
    #[serde(rename = "cool_after")]
    pub deactivate_after: Milliseconds,
    /// Copies that one server may be ordered to take at a time.
    pub copies_per_server: u32,
    /// How much busier than the least busy one a cache match may be.
    #[serde(rename = "imbalance")]
    pub max_load_imbalance: u32,
    /// Where first-token times start from, without prefill.
    pub base_first_token: Milliseconds,
    /// Prefill of a block, in microseconds, until it has been seen.
    pub block_micros: u64,
    /// How long a request occupies a slot, in ms, until it has been learned.
    #[serde(rename = "hold")]
    pub service_time: Milliseconds,
    /// Retries that a service's traffic earns, in percent of it.
    #[serde(rename = "repeat_percent")]
    pub retry_percent: u32,
    /// Retries that a service may have besides, a minute, over the whole fleet.
    #[serde(rename = "repeats_a_minute")]
    pub retries_per_minute: u32,
    /// Tokens of a block: what Y counts in, where clients tell tokens.
    pub block_tokens: u32,
    /// Whether servers take orders to copy KV. If not, the next real requests of an active prefix are what
    /// warms further servers.
    #[serde(rename = "does_order_copies")]
    pub orders_kv_copies: bool,
    /// Where real requests warm further servers, they do so only once the holders' first pieces are expected
    /// later than this: until then a copy, which has to be read anew, gains nothing.
    #[serde(rename = "warm_from")]
    pub warming_threshold: Milliseconds,
    /// Retries are bounded in each sliding window of this length; zero: by the minute.
    #[serde(rename = "repeat_window")]
    pub retry_window: Milliseconds,
    /// Retries that a service may have in such a window besides the percentage, over the whole fleet.
    #[serde(rename = "repeats_in_window")]
    pub retries_per_window: u32,
    /// What a server in another zone than the node's own is held to cost, as time.
    #[serde(rename = "zone_bias")]
    pub zone_penalty: Milliseconds,
    /// What a full server is held to cost beyond an empty one, as time.
    #[serde(rename = "load_bias")]
    pub load_penalty: Milliseconds,
    /// What reading a token costs the others that wait there, in percent of the time that it takes.
    pub prefill_percent: u32,
    /// Servers whose costs differ by no more than this are equal: the one that holds more, or the one that
    /// the prefix's own order of servers prefers, is taken.
    pub hysteresis: Milliseconds,
    /// A step of a server that runs one request, in microseconds.
    pub step_micros: u64,
    /// What each further running request adds to a step, in microseconds.
    #[serde(rename = "step_micros_each")]
    pub step_micros_per_request: u64,
    /// What may wait at a server beyond its slots, in percent of them.
    pub queue_percent: u32,
    /// The fleet is taken to have at least so many members where the budgets of new servers are shared out.
    #[serde(rename = "members_least")]
    pub min_members: u32,
    /// A server's own report of its requests counts for this long.
    #[serde(rename = "report_life")]
    pub report_lifetime: Milliseconds,
    /// A first piece that came may have come this much later than expected, besides what is usual.
    pub lag_slack: Milliseconds,
    /// A first piece is overdue this long after it was expected, besides what is usual.
    pub overdue_slack: Milliseconds,
}

impl Default for SchedulerRules {
    fn default() -> Self {
        SchedulerRules {
            merges_peer_sketches: true,
            enforces_deadlines: true,
            slow_start_duration: Milliseconds::seconds(8),
            slow_start_initial_cap: 2,
            sketch_lifetime: Milliseconds(3000),
            copy_duration: Milliseconds(400),
            deactivate_after: Milliseconds::seconds(15),
            copies_per_server: 8,
            max_load_imbalance: 3,
            base_first_token: Milliseconds(30),
            block_micros: 2500,
            service_time: Milliseconds(400),
            retry_percent: 20,
            retries_per_minute: 10,
            block_tokens: 16,
            orders_kv_copies: true,
            warming_threshold: Milliseconds(0),
            retry_window: Milliseconds(0),
            retries_per_window: 0,
            zone_penalty: Milliseconds(0),
            load_penalty: Milliseconds(60),
            prefill_percent: 100,
            hysteresis: Milliseconds(20),
            step_micros: 3400,
            step_micros_per_request: 97,
            queue_percent: 50,
            min_members: 1,
            report_lifetime: Milliseconds(2000),
            lag_slack: Milliseconds(400),
            overdue_slack: Milliseconds(1000),
        }
    }
}
