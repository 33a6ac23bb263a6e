use placement::ServerEntry;
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, Milliseconds, MonotonicInstant, ServerName};
use wire::{Message, ServerListChange, ServerListChunk, ServerListState, ServerListVersion};

/// The spans and bounds that the list of servers is read and told by.
#[derive(Debug, Clone, Copy)]
pub struct EndpointListTiming {
    /// Between two readings by one node.
    pub reading_interval: Milliseconds,
    /// A member that has heard no collector for this long reads the list itself.
    pub collector_timeout: Milliseconds,
    /// Calls a second that the platform bears from the whole fleet.
    pub max_calls_per_second: u64,
    /// After a reading that failed, the first time.
    pub initial_backoff: Milliseconds,
    /// How far the list lags behind.
    pub list_lag: Milliseconds,
    /// Cold servers warm up as time passes: what differs by no more than this from that is no change.
    pub warm_up_tolerance: Milliseconds,
    /// Without a clock event for this long, the machine slept.
    pub sleep_threshold: Milliseconds,
    /// What others say is not heard for so long after it: their letters may have lain here meanwhile.
    pub ignore_span_after_sleep: Milliseconds,
}

impl Default for EndpointListTiming {
    fn default() -> Self {
        EndpointListTiming {
            reading_interval: Milliseconds(1000),
            collector_timeout: Milliseconds(2000),
            max_calls_per_second: 50,
            initial_backoff: Milliseconds(250),
            list_lag: Milliseconds(0),
            warm_up_tolerance: Milliseconds(300),
            sleep_threshold: Milliseconds(1000),
            ignore_span_after_sleep: Milliseconds(1000),
        }
    }
}

/// What the list's reader found.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListReading {
    /// When it began to read.
    pub requested_at: MonotonicInstant,
    /// Calls that it made.
    pub calls: usize,
    /// The whole list, if it could be read.
    pub servers: Option<Vec<ServerEntry>>,
}

/// What a reading does where the platform takes no more calls for the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRetryPolicy {
    /// It is given up: whoever reads for itself alone must not hold up those who read for many.
    Once,
    /// The page that was refused is asked for again, for a while.
    Persistent,
}

/// What is to be done about the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointListOutput {
    /// Read the list, on another thread.
    Read(ReadRetryPolicy),
    /// Send a letter.
    Send {
        /// To there.
        to: Address,
        /// It.
        message: Message,
    },
    /// The list has changed: this is the whole of it, as of now.
    Servers(Vec<ServerEntry>),
    /// This one, who should tell the list, has not done so for long, though it can be read or is not known here.
    CollectorUnreachable(Address),
}

/// Who is there to tell the list, and to be told.
#[derive(Debug, Clone, Copy)]
pub struct EndpointListPeers<'a> {
    /// The members of the node's own zone.
    pub zone: Option<&'a BTreeSet<Address>>,
    /// Its collector, as this node sees it.
    pub collector: Option<Address>,
    /// The members of the whole fleet.
    pub fleet: usize,
}

/// The platform's list of servers, as it is known to a node. A zone's collector reads it and tells its zone's
/// members what has changed, or else that nothing has. A member that hears no collector reads it itself, as
/// often as the fleet may do so together.
///
/// A list's version is named by the life that read a list other than the one it held, and a number of that
/// life's. Whoever holds a version holds the same entries, up to `cold_tolerance`; so collectors may change, and
/// there may be two, without anything being told anew.
///
/// Invariants: `read_at` never falls: no list replaces one whose reading began later, and after a sleep of the
/// machine nothing counts that may have been said before. `check` is that of `entries`. Without a list,
/// `read_at` is `None` and nothing is told to others.
#[derive(Debug, Clone)]
pub struct EndpointList {
    own_address: Address,
    incarnation: u64,
    timing: EndpointListTiming,
    now: MonotonicInstant,
    entries: BTreeMap<ServerName, Entry>,
    version: ServerListVersion,
    check: u64,
    /// When the reading began that the list is from, or was last confirmed by, as far as this node's clock tells.
    read_at: Option<MonotonicInstant>,
    number: u64,
    zone: BTreeSet<Address>,
    fleet: usize,
    /// The zone's collector, and since when it is.
    collector: (Option<Address>, MonotonicInstant),
    /// Whether this node reads for its zone: from when it is the collector until another is, and is heard.
    is_collecting: bool,
    /// Which collector last told or confirmed the list, and when.
    last_confirmed: Option<(Address, MonotonicInstant)>,
    /// Whether the list is read here for want of a collector.
    reads_without_collector: bool,
    /// When the reading began that is under way.
    reading: Option<MonotonicInstant>,
    next_read: MonotonicInstant,
    failures: u32,
    /// Calls that a reading takes.
    calls: usize,
    /// When the machine last slept, if it did: what was known before counts no more.
    woke_at: Option<MonotonicInstant>,
    last_clock: MonotonicInstant,
    pending_transfer: Option<PendingTransfer>,
    random_state: u64,
    outputs: Vec<EndpointListOutput>,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    /// Without `warm_up_left`.
    entry: ServerEntry,
    warming_up_until: Option<MonotonicInstant>,
}

/// A whole list under way, piece by piece.
#[derive(Debug, Clone)]
struct PendingTransfer {
    from: Address,
    version: ServerListVersion,
    entries: Vec<Entry>,
    requested_at: MonotonicInstant,
}

/// A piece that has not come by then is asked for anew.
const FETCH_DEADLINE: Milliseconds = Milliseconds(500);
/// A reading without an end by then has come to nothing.
const READ_DEADLINE: Milliseconds = Milliseconds(30_000);
/// Bytes of entries that one letter carries.
const MAX_CHUNK_BYTES: usize = 200 << 10;

impl Entry {
    fn new(mut entry: ServerEntry, now: MonotonicInstant) -> Entry {
        let warming_up_until = entry.warm_up_left.take().map(|left| now + left);
        Entry {
            entry,
            warming_up_until,
        }
    }
    fn to_server_entry(&self, now: MonotonicInstant) -> ServerEntry {
        ServerEntry {
            warm_up_left: self.warming_up_until.map(|deadline| now.until(deadline)),
            ..self.entry.clone()
        }
    }
    /// Whether the other is the same, but that time has passed.
    fn is_like(&self, other: &Entry, now: MonotonicInstant, tolerance: Milliseconds) -> bool {
        let has_same_warm_up = match (self.warming_up_until, other.warming_up_until) {
            (Some(one), Some(two)) => now.until(one).0.abs_diff(now.until(two).0) <= tolerance.0,
            (one, two) => one == two,
        };
        has_same_warm_up && self.entry == other.entry
    }
}

/// The same for the same entries, whatever is left of their cold time.
fn checksum(entries: &BTreeMap<ServerName, Entry>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    for Entry {
        entry,
        warming_up_until,
    } in entries.values()
    {
        add(entry.server.as_str().as_bytes());
        add(entry.address.as_deref().unwrap_or_default().as_bytes());
        add(&entry.slots.map_or(u64::MAX, u64::from).to_le_bytes());
        add(entry.zone.as_str().as_bytes());
        add(entry.pool.as_bytes());
        add(&[
            u8::from(entry.is_draining),
            u8::from(warming_up_until.is_some()),
        ]);
    }
    let mut check = [0; 8];
    check.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(check)
}

fn estimated_bytes(entry: &ServerEntry) -> usize {
    let address = entry.address.as_ref().map_or(0, String::len);
    96 + entry.server.as_str().len() + entry.zone.as_str().len() + entry.pool.len() + address
}

impl EndpointList {
    /// At the start of a node's life: nothing is known.
    pub fn new(
        own_address: Address,
        incarnation: u64,
        timing: EndpointListTiming,
        now: MonotonicInstant,
    ) -> Self {
        let entries = BTreeMap::new();
        EndpointList {
            own_address,
            incarnation,
            timing,
            now,
            check: checksum(&entries),
            entries,
            version: ServerListVersion {
                incarnation,
                number: 0,
            },
            read_at: None,
            number: 0,
            zone: BTreeSet::new(),
            fleet: 1,
            collector: (None, now),
            is_collecting: false,
            last_confirmed: None,
            reads_without_collector: true,
            reading: None,
            next_read: now,
            failures: 0,
            calls: 1,
            woke_at: None,
            last_clock: now,
            pending_transfer: None,
            random_state: incarnation ^ u64::from(own_address.0.port()) << 48,
            outputs: vec![],
        }
    }

    /// Whether a list is known whose reading began in this life, after the machine last slept.
    pub fn is_fresh(&self) -> bool {
        self.read_at
            .is_some_and(|at| self.woke_at.is_none_or(|woke_at| at >= woke_at))
    }
    /// The version held.
    pub fn version(&self) -> ServerListVersion {
        self.version
    }
    /// When the newest reading began that the list is from or was confirmed by.
    pub fn read_at(&self) -> Option<MonotonicInstant> {
        self.read_at
    }
    /// Whether this node reads for its zone.
    pub fn is_collecting(&self) -> bool {
        self.is_collecting
    }
    /// When the next clock event is due at the latest.
    pub fn next_timer(&self) -> MonotonicInstant {
        match self.reading {
            Some(requested_at) => requested_at + READ_DEADLINE,
            None if self.is_reader() => self.next_read,
            None => {
                self.last_confirmed.map_or(self.now, |(_, at)| at) + self.timing.collector_timeout
            }
        }
    }

    /// Time has passed.
    pub fn on_clock(
        &mut self,
        now: MonotonicInstant,
        peers: EndpointListPeers,
    ) -> Vec<EndpointListOutput> {
        self.advance_clock(now);
        self.last_clock = self.now;
        self.update_peers(peers);
        if !self.is_fresh() {
            self.check_collector();
        }
        if self.has_collector_timed_out() && !self.reads_without_collector && !self.is_collecting {
            self.reads_without_collector = true;
            // Members that miss the same collector must not read together.
            self.next_read = self.now + self.random_below(self.fleet_period());
        }
        if self
            .reading
            .is_some_and(|requested_at| self.now.since(requested_at) >= READ_DEADLINE)
        {
            self.reading = None;
        }
        if self.reading.is_none() && self.is_reader() && self.now >= self.next_read {
            self.reading = Some(self.now);
            let effort = if self.is_collecting {
                ReadRetryPolicy::Persistent
            } else {
                ReadRetryPolicy::Once
            };
            self.outputs.push(EndpointListOutput::Read(effort));
        }
        std::mem::take(&mut self.outputs)
    }

    /// The reader is done.
    pub fn on_reading(
        &mut self,
        now: MonotonicInstant,
        reading: EndpointListReading,
    ) -> Vec<EndpointListOutput> {
        self.advance_clock(now);
        self.reading = None;
        if self
            .woke_at
            .is_some_and(|woke_at| reading.requested_at < woke_at)
        {
            // What it read may be as old as the sleep was long.
            self.next_read = self.now;
            return std::mem::take(&mut self.outputs);
        }
        match reading.servers {
            Some(servers) => {
                self.failures = 0;
                self.calls = reading.calls;
                self.next_read = match self.is_collecting {
                    true => (reading.requested_at + self.timing.reading_interval).max(self.now),
                    false => self.now + self.with_jitter(self.fleet_period()),
                };
                self.apply_reading(reading.requested_at, servers);
                self.check_collector();
            }
            None => {
                // Whoever can't read says nothing, so that the others see for themselves.
                let most = if self.is_collecting { 1 } else { 3 };
                let pause = Milliseconds(self.timing.initial_backoff.0 << self.failures.min(most));
                self.failures += 1;
                let is_spare = self.read_at.is_some() && !self.is_collecting;
                let pause = match self.has_other_collector() {
                    _ if is_spare => pause.max(self.fleet_period()),
                    // All that wait for the same list must leave room for those that read it for them.
                    true => pause.max(fleet_period(
                        self.fleet,
                        1,
                        self.timing.max_calls_per_second,
                    )),
                    false => pause,
                };
                self.next_read = self.now + self.with_jitter(pause);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// A letter came. Those that are not about the list are passed over.
    pub fn on_message(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        message: &Message,
    ) -> Vec<EndpointListOutput> {
        self.advance_clock(now);
        let is_deaf = self
            .woke_at
            .is_some_and(|woke_at| self.now < woke_at + self.timing.ignore_span_after_sleep);
        if !is_deaf && from != self.own_address && self.zone.contains(&from) {
            match message {
                Message::ServerListUnchanged { state } => self.on_fresh(from, state),
                Message::ServerListChange { change } => self.on_change(from, change),
                Message::ServerListRequest { version, offset } => {
                    self.on_ask(from, *version, *offset);
                }
                Message::ServerListChunk { chunk } => self.on_piece(from, chunk),
                _ => {}
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn advance_clock(&mut self, now: MonotonicInstant) {
        self.now = self.now.max(now);
        if self.now.since(self.last_clock) < self.timing.sleep_threshold {
            return;
        }
        // What was read or said before may have lain here for as long as the machine slept.
        self.last_clock = self.now;
        self.woke_at = Some(self.now);
        (
            self.last_confirmed,
            self.pending_transfer,
            self.reads_without_collector,
            self.next_read,
        ) = (None, None, true, self.now);
        self.collector.1 = self.now;
    }

    fn update_peers(&mut self, peers: EndpointListPeers) {
        self.fleet = peers.fleet.max(1);
        if peers.zone != Some(&self.zone) {
            self.zone = peers.zone.cloned().unwrap_or_default();
        }
        if peers.collector != self.collector.0 {
            self.collector = (peers.collector, self.now);
        }
        if peers.collector == Some(self.own_address) {
            if !self.is_collecting {
                self.next_read = self.now;
            }
            self.is_collecting = true;
        } else if let Some((other_collector, _)) = self
            .last_confirmed
            .filter(|_| self.is_collecting && !self.has_collector_timed_out())
        {
            // Of two that are not chosen any more, the first goes on.
            self.is_collecting =
                peers.collector != Some(other_collector) && other_collector > self.own_address;
        }
    }

    /// Whether another is to read for this node's zone.
    fn has_other_collector(&self) -> bool {
        !self.is_collecting
            && self.zone.contains(&self.own_address)
            && self.collector.0.is_some_and(|one| one != self.own_address)
    }
    fn has_collector_timed_out(&self) -> bool {
        self.last_confirmed
            .is_none_or(|(_, at)| self.now.since(at) >= self.timing.collector_timeout)
    }
    fn is_reader(&self) -> bool {
        self.is_collecting || self.reads_without_collector
    }
    /// Between readings by each of the fleet, if all of it has to read.
    fn fleet_period(&self) -> Milliseconds {
        fleet_period(self.fleet, self.calls, self.timing.max_calls_per_second)
            .max(self.timing.reading_interval)
    }
    /// By chance, less than the span.
    fn random_below(&mut self, span: Milliseconds) -> Milliseconds {
        // SplitMix64.
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        Milliseconds((mixed ^ mixed >> 31) % span.0.max(1))
    }
    /// The span, an eighth more or less.
    fn with_jitter(&mut self, span: Milliseconds) -> Milliseconds {
        Milliseconds(span.0 - span.0 / 8 + self.random_below(Milliseconds(span.0 / 4)).0)
    }

    fn state(&self) -> ServerListState {
        let age = self.now.since(self.read_at.unwrap_or(self.now));
        ServerListState {
            version: self.version,
            check: self.check,
            warming_up: self.total_warm_up_left(),
            age,
        }
    }
    /// How long all servers together are still cold.
    fn total_warm_up_left(&self) -> Milliseconds {
        let left = self.entries.values().filter_map(|entry| {
            entry
                .warming_up_until
                .map(|deadline| self.now.until(deadline).0)
        });
        Milliseconds(left.sum())
    }
    /// The whole list, as of now.
    pub fn servers(&self) -> Vec<ServerEntry> {
        self.entries
            .values()
            .map(|entry| entry.to_server_entry(self.now))
            .collect()
    }
    fn send(&mut self, to: Address, message: Message) {
        self.outputs.push(EndpointListOutput::Send { to, message });
    }
    fn send_to_zone(&mut self, message: &Message) {
        let others: Vec<Address> = self
            .zone
            .iter()
            .copied()
            .filter(|one| *one != self.own_address)
            .collect();
        others
            .into_iter()
            .for_each(|one| self.send(one, message.clone()));
    }

    /// This node has read the whole list.
    fn apply_reading(&mut self, requested_at: MonotonicInstant, servers: Vec<ServerEntry>) {
        if self.read_at.is_some_and(|held| requested_at < held) {
            return;
        }
        let is_first = self.read_at.replace(requested_at).is_none();
        let now = self.now;
        let read = servers
            .into_iter()
            .map(|entry| (entry.server.clone(), Entry::new(entry, now)));
        let read: BTreeMap<ServerName, Entry> = read.collect();
        let is_unchanged = |(name, entry): &(&ServerName, &Entry)| {
            self.entries
                .get(*name)
                .is_some_and(|held| held.is_like(entry, now, self.timing.warm_up_tolerance))
        };
        let set: Vec<Entry> = read
            .iter()
            .filter(|one| !is_unchanged(one))
            .map(|(_, entry)| entry.clone())
            .collect();
        let gone: Vec<ServerName> = self
            .entries
            .keys()
            .filter(|name| !read.contains_key(*name))
            .cloned()
            .collect();
        if !is_first && set.is_empty() && gone.is_empty() {
            if self.is_collecting {
                let state = self.state();
                self.send_to_zone(&Message::ServerListUnchanged { state });
            }
            return;
        }
        gone.iter().for_each(|name| drop(self.entries.remove(name)));
        let changed_entries: Vec<ServerEntry> =
            set.iter().map(|entry| entry.to_server_entry(now)).collect();
        self.entries.extend(
            set.into_iter()
                .map(|entry| (entry.entry.server.clone(), entry)),
        );
        self.number += 1;
        let base = std::mem::replace(
            &mut self.version,
            ServerListVersion {
                incarnation: self.incarnation,
                number: self.number,
            },
        );
        self.check = checksum(&self.entries);
        self.outputs
            .push(EndpointListOutput::Servers(self.servers()));
        if self.is_collecting {
            let state = self.state();
            let is_long =
                changed_entries.iter().map(estimated_bytes).sum::<usize>() > MAX_CHUNK_BYTES;
            self.send_to_zone(&match is_first || is_long {
                // Whoever holds something else asks for the whole.
                true => Message::ServerListUnchanged { state },
                false => Message::ServerListChange {
                    change: Box::new(ServerListChange {
                        state,
                        base,
                        set: changed_entries,
                        removed: gone,
                    }),
                },
            });
        }
    }

    /// A collector that is silent for long should have told the list: reading here went well, or nothing is known
    /// here, and waiting for one that is gone would be for ever.
    fn check_collector(&mut self) {
        let (Some(collector), since) = self.collector else {
            return;
        };
        let is_long = self.now.since(since) >= self.timing.collector_timeout;
        if self.has_other_collector() && is_long && self.has_collector_timed_out() {
            self.outputs
                .push(EndpointListOutput::CollectorUnreachable(collector));
        }
    }

    /// When the reading began that another tells of, if no list that is held here was read later.
    fn reading_time(
        &self,
        state: &ServerListState,
        received_at: MonotonicInstant,
    ) -> Option<MonotonicInstant> {
        let at = received_at - state.age;
        self.read_at.is_none_or(|held| at >= held).then_some(at)
    }
    /// Whether what is held here is what the other holds: the same version, or the same entries, as cold.
    fn has_same_content(&self, state: &ServerListState) -> bool {
        let has_same_warm_up = || {
            self.total_warm_up_left().0.abs_diff(state.warming_up.0)
                <= self.timing.warm_up_tolerance.0
        };
        self.read_at.is_some()
            && (self.version == state.version || (self.check == state.check && has_same_warm_up()))
    }
    /// A collector has told that what is held here now is what the list shows.
    fn confirm_version(&mut self, from: Address, state: &ServerListState, at: MonotonicInstant) {
        self.read_at = Some(at);
        self.version = state.version;
        self.last_confirmed = Some((from, self.now));
        self.reads_without_collector = false;
        self.pending_transfer = None;
    }

    fn on_fresh(&mut self, from: Address, state: &ServerListState) {
        let Some(at) = self.reading_time(state, self.now) else {
            return;
        };
        match self.has_same_content(state) {
            true => self.confirm_version(from, state, at),
            false => self.request_full_list(from, state),
        }
    }

    fn on_change(&mut self, from: Address, change: &ServerListChange) {
        let Some(at) = self.reading_time(&change.state, self.now) else {
            return;
        };
        if self.has_same_content(&change.state) {
            return self.confirm_version(from, &change.state, at);
        }
        if self.read_at.is_some() && self.version == change.base {
            let mut entries = self.entries.clone();
            change
                .removed
                .iter()
                .for_each(|name| drop(entries.remove(name)));
            let set = change
                .set
                .iter()
                .map(|entry| (entry.server.clone(), Entry::new(entry.clone(), self.now)));
            entries.extend(set);
            if checksum(&entries) == change.state.check {
                return self.replace_entries(from, &change.state, at, entries);
            }
        }
        self.request_full_list(from, &change.state);
    }

    fn replace_entries(
        &mut self,
        from: Address,
        state: &ServerListState,
        at: MonotonicInstant,
        entries: BTreeMap<ServerName, Entry>,
    ) {
        self.entries = entries;
        self.check = state.check;
        self.confirm_version(from, state, at);
        self.outputs
            .push(EndpointListOutput::Servers(self.servers()));
    }

    /// Asks for the whole.
    fn request_full_list(&mut self, from: Address, state: &ServerListState) {
        if self
            .pending_transfer
            .as_ref()
            .is_some_and(|pending_transfer| {
                self.now.since(pending_transfer.requested_at) < FETCH_DEADLINE
            })
        {
            return;
        }
        let (version, requested_at) = (state.version, self.now);
        self.pending_transfer = Some(PendingTransfer {
            from,
            version,
            entries: vec![],
            requested_at,
        });
        self.send(from, Message::ServerListRequest { version, offset: 0 });
    }

    fn on_ask(&mut self, from: Address, version: ServerListVersion, offset: u32) {
        if !self.is_collecting || !self.is_fresh() {
            return;
        }
        // The list may have changed since the piece before: then from its beginning.
        let offset = if version == self.version { offset } else { 0 };
        let mut bytes = 0;
        let fits = |entry: &ServerEntry| {
            bytes += estimated_bytes(entry);
            bytes <= MAX_CHUNK_BYTES
        };
        let rest = self
            .entries
            .values()
            .skip(offset as usize)
            .map(|entry| entry.to_server_entry(self.now));
        let entries = rest.take_while(fits).collect();
        let piece = ServerListChunk {
            state: self.state(),
            offset,
            length: self.entries.len() as u32,
            entries,
        };
        self.send(
            from,
            Message::ServerListChunk {
                chunk: Box::new(piece),
            },
        );
    }

    fn on_piece(&mut self, from: Address, piece: &ServerListChunk) {
        let Some(mut pending_transfer) = self
            .pending_transfer
            .take_if(|pending_transfer| pending_transfer.from == from)
        else {
            return;
        };
        let ServerListChunk {
            state,
            offset,
            length,
            entries,
        } = piece;
        if state.version != pending_transfer.version {
            (pending_transfer.version, pending_transfer.entries) = (state.version, vec![]);
        }
        if *offset as usize == pending_transfer.entries.len() {
            pending_transfer.entries.extend(
                entries
                    .iter()
                    .map(|entry| Entry::new(entry.clone(), self.now)),
            );
            if pending_transfer.entries.len() >= *length as usize {
                // Read before this node asked, however long the letters took.
                let at = self.reading_time(state, pending_transfer.requested_at);
                let entries = pending_transfer
                    .entries
                    .into_iter()
                    .map(|entry| (entry.entry.server.clone(), entry));
                let entries: BTreeMap<ServerName, Entry> = entries.collect();
                if let Some(at) = at.filter(|_| checksum(&entries) == state.check) {
                    self.replace_entries(from, state, at, entries);
                }
                return;
            }
            pending_transfer.requested_at = self.now;
            let (version, offset) = (
                pending_transfer.version,
                pending_transfer.entries.len() as u32,
            );
            self.send(from, Message::ServerListRequest { version, offset });
        }
        self.pending_transfer = Some(pending_transfer);
    }
}

/// How long each of `members` waits between readings, so that all together make no more than two thirds of
/// `rate` calls a second, each reading taking so many.
fn fleet_period(members: usize, calls: usize, rate: u64) -> Milliseconds {
    Milliseconds(members as u64 * calls.max(1) as u64 * 1500 / rate.max(1))
}

#[cfg(test)]
mod tests;
