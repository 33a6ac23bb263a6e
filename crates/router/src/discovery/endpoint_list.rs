use placement::ServerEntry;
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, Milliseconds, MonotonicInstant, ServerName};
use wire::{ListChange, ListState, ListVersion, Message, ServerListChunk};

/// The spans and bounds that the list of servers is read and told by.
#[derive(Debug, Clone, Copy)]
pub struct ListTiming {
    /// Between two readings by one node.
    pub period: Milliseconds,
    /// A member that has heard no collector for this long reads the list itself.
    pub silence: Milliseconds,
    /// Calls a second that the platform bears from the whole fleet.
    pub rate: u64,
    /// After a reading that failed, the first time.
    pub retry: Milliseconds,
    /// Cold servers warm up as time passes: what differs by no more than this from that is no change.
    pub cold_tolerance: Milliseconds,
    /// Without a clock event for this long, the machine slept.
    pub slept: Milliseconds,
    /// What others say is not heard for so long after it: their letters may have lain here meanwhile.
    pub deafness: Milliseconds,
}

impl Default for ListTiming {
    fn default() -> Self {
        ListTiming {
            period: Milliseconds(1000),
            silence: Milliseconds(2000),
            rate: 50,
            retry: Milliseconds(250),
            cold_tolerance: Milliseconds(300),
            slept: Milliseconds(1000),
            deafness: Milliseconds(1000),
        }
    }
}

/// What the list's reader found.
#[derive(Debug, Clone, PartialEq)]
pub struct ListReading {
    /// When it began to read.
    pub asked: MonotonicInstant,
    /// Calls that it made.
    pub calls: usize,
    /// The whole list, if it could be read.
    pub servers: Option<Vec<ServerEntry>>,
}

/// What a reading does where the platform takes no more calls for the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEffort {
    /// It is given up: whoever reads for itself alone must not hold up those who read for many.
    Once,
    /// The page that was refused is asked for again, for a while.
    Persistent,
}

/// What is to be done about the list of servers.
#[derive(Debug, Clone, PartialEq)]
pub enum ListOutput {
    /// Read the list, on another thread.
    Read(ReadEffort),
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
    Unheard(Address),
}

/// Who is there to tell the list, and to be told.
#[derive(Debug, Clone, Copy)]
pub struct ListPeers<'a> {
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
pub struct ServerList {
    own: Address,
    incarnation: u64,
    timing: ListTiming,
    now: MonotonicInstant,
    entries: BTreeMap<ServerName, Entry>,
    version: ListVersion,
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
    heard: Option<(Address, MonotonicInstant)>,
    /// Whether the list is read here for want of a collector.
    is_alone: bool,
    /// When the reading began that is under way.
    reading: Option<MonotonicInstant>,
    next_read: MonotonicInstant,
    failures: u32,
    /// Calls that a reading takes.
    calls: usize,
    /// When the machine last slept, if it did: what was known before counts no more.
    woken: Option<MonotonicInstant>,
    last_clock: MonotonicInstant,
    fetching: Option<Fetching>,
    chance: u64,
    outputs: Vec<ListOutput>,
}

#[derive(Debug, Clone, PartialEq)]
struct Entry {
    /// Without `cold_left`.
    entry: ServerEntry,
    cold_until: Option<MonotonicInstant>,
}

/// A whole list under way, piece by piece.
#[derive(Debug, Clone)]
struct Fetching {
    from: Address,
    version: ListVersion,
    entries: Vec<Entry>,
    asked: MonotonicInstant,
}

/// A piece that has not come by then is asked for anew.
const FETCH_DEADLINE: Milliseconds = Milliseconds(500);
/// A reading without an end by then has come to nothing.
const READ_DEADLINE: Milliseconds = Milliseconds(30_000);
/// Bytes of entries that one letter carries.
const PIECE: usize = 200 << 10;

impl Entry {
    fn new(mut entry: ServerEntry, now: MonotonicInstant) -> Entry {
        let cold_until = entry.warm_up_left.take().map(|left| now + left);
        Entry { entry, cold_until }
    }
    fn told(&self, now: MonotonicInstant) -> ServerEntry {
        ServerEntry {
            warm_up_left: self.cold_until.map(|deadline| now.until(deadline)),
            ..self.entry.clone()
        }
    }
    /// Whether the other is the same, but that time has passed.
    fn is_like(&self, other: &Entry, now: MonotonicInstant, tolerance: Milliseconds) -> bool {
        let is_as_cold = match (self.cold_until, other.cold_until) {
            (Some(one), Some(two)) => now.until(one).0.abs_diff(now.until(two).0) <= tolerance.0,
            (one, two) => one == two,
        };
        is_as_cold && self.entry == other.entry
    }
}

/// The same for the same entries, whatever is left of their cold time.
fn check_of(entries: &BTreeMap<ServerName, Entry>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    for Entry { entry, cold_until } in entries.values() {
        add(entry.server.as_str().as_bytes());
        add(entry.address.as_deref().unwrap_or_default().as_bytes());
        add(&entry.slots.map_or(u64::MAX, u64::from).to_le_bytes());
        add(entry.zone.as_str().as_bytes());
        add(entry.pool.as_bytes());
        add(&[u8::from(entry.is_draining), u8::from(cold_until.is_some())]);
    }
    let mut check = [0; 8];
    check.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(check)
}

fn bytes_of(entry: &ServerEntry) -> usize {
    let address = entry.address.as_ref().map_or(0, String::len);
    96 + entry.server.as_str().len() + entry.zone.as_str().len() + entry.pool.len() + address
}

impl ServerList {
    /// At the start of a node's life: nothing is known.
    pub fn new(own: Address, incarnation: u64, timing: ListTiming, now: MonotonicInstant) -> Self {
        let entries = BTreeMap::new();
        ServerList {
            own,
            incarnation,
            timing,
            now,
            check: check_of(&entries),
            entries,
            version: ListVersion {
                incarnation,
                number: 0,
            },
            read_at: None,
            number: 0,
            zone: BTreeSet::new(),
            fleet: 1,
            collector: (None, now),
            is_collecting: false,
            heard: None,
            is_alone: true,
            reading: None,
            next_read: now,
            failures: 0,
            calls: 1,
            woken: None,
            last_clock: now,
            fetching: None,
            chance: incarnation ^ u64::from(own.0.port()) << 48,
            outputs: vec![],
        }
    }

    /// Whether a list is known whose reading began in this life, after the machine last slept.
    pub fn is_known(&self) -> bool {
        self.read_at
            .is_some_and(|at| self.woken.is_none_or(|woken| at >= woken))
    }
    /// The version held.
    pub fn version(&self) -> ListVersion {
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
            Some(asked) => asked + READ_DEADLINE,
            None if self.reads_itself() => self.next_read,
            None => self.heard.map_or(self.now, |(_, at)| at) + self.timing.silence,
        }
    }

    /// Time has passed.
    pub fn on_clock(&mut self, now: MonotonicInstant, peers: ListPeers) -> Vec<ListOutput> {
        self.pass(now);
        self.last_clock = self.now;
        self.note_peers(peers);
        if !self.is_known() {
            self.doubt();
        }
        if self.is_silent() && !self.is_alone && !self.is_collecting {
            self.is_alone = true;
            // Members that miss the same collector must not read together.
            self.next_read = self.now + self.part_of(self.fleet_period());
        }
        if self
            .reading
            .is_some_and(|asked| self.now.since(asked) >= READ_DEADLINE)
        {
            self.reading = None;
        }
        if self.reading.is_none() && self.reads_itself() && self.now >= self.next_read {
            self.reading = Some(self.now);
            let effort = if self.is_collecting {
                ReadEffort::Persistent
            } else {
                ReadEffort::Once
            };
            self.outputs.push(ListOutput::Read(effort));
        }
        std::mem::take(&mut self.outputs)
    }

    /// The reader is done.
    pub fn on_reading(&mut self, now: MonotonicInstant, reading: ListReading) -> Vec<ListOutput> {
        self.pass(now);
        self.reading = None;
        if self.woken.is_some_and(|woken| reading.asked < woken) {
            // What it read may be as old as the sleep was long.
            self.next_read = self.now;
            return std::mem::take(&mut self.outputs);
        }
        match reading.servers {
            Some(servers) => {
                self.failures = 0;
                self.calls = reading.calls;
                self.next_read = match self.is_collecting {
                    true => (reading.asked + self.timing.period).max(self.now),
                    false => self.now + self.about(self.fleet_period()),
                };
                self.take_reading(reading.asked, servers);
                self.doubt();
            }
            None => {
                // Whoever can't read says nothing, so that the others see for themselves.
                let most = if self.is_collecting { 1 } else { 3 };
                let pause = Milliseconds(self.timing.retry.0 << self.failures.min(most));
                self.failures += 1;
                let is_spare = self.read_at.is_some() && !self.is_collecting;
                let pause = match self.has_teller() {
                    _ if is_spare => pause.max(self.fleet_period()),
                    // All that wait for the same list must leave room for those that read it for them.
                    true => pause.max(fleet_period(self.fleet, 1, self.timing.rate)),
                    false => pause,
                };
                self.next_read = self.now + self.about(pause);
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
    ) -> Vec<ListOutput> {
        self.pass(now);
        let is_deaf = self
            .woken
            .is_some_and(|woken| self.now < woken + self.timing.deafness);
        if !is_deaf && from != self.own && self.zone.contains(&from) {
            match message {
                Message::ListFresh { state } => self.on_fresh(from, state),
                Message::ListChange { change } => self.on_change(from, change),
                Message::ServerListRequest { version, offset } => {
                    self.on_ask(from, *version, *offset)
                }
                Message::ServerListChunk { piece } => self.on_piece(from, piece),
                _ => {}
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn pass(&mut self, now: MonotonicInstant) {
        self.now = self.now.max(now);
        if self.now.since(self.last_clock) < self.timing.slept {
            return;
        }
        // What was read or said before may have lain here for as long as the machine slept.
        self.last_clock = self.now;
        self.woken = Some(self.now);
        (self.heard, self.fetching, self.is_alone, self.next_read) = (None, None, true, self.now);
        self.collector.1 = self.now;
    }

    fn note_peers(&mut self, peers: ListPeers) {
        self.fleet = peers.fleet.max(1);
        if peers.zone != Some(&self.zone) {
            self.zone = peers.zone.cloned().unwrap_or_default();
        }
        if peers.collector != self.collector.0 {
            self.collector = (peers.collector, self.now);
        }
        if peers.collector == Some(self.own) {
            if !self.is_collecting {
                self.next_read = self.now;
            }
            self.is_collecting = true;
        } else if let Some((teller, _)) = self
            .heard
            .filter(|_| self.is_collecting && !self.is_silent())
        {
            // Of two that are not chosen any more, the first goes on.
            self.is_collecting = peers.collector != Some(teller) && teller > self.own;
        }
    }

    /// Whether another is to read for this node's zone.
    fn has_teller(&self) -> bool {
        !self.is_collecting
            && self.zone.contains(&self.own)
            && self.collector.0.is_some_and(|one| one != self.own)
    }
    fn is_silent(&self) -> bool {
        self.heard
            .is_none_or(|(_, at)| self.now.since(at) >= self.timing.silence)
    }
    fn reads_itself(&self) -> bool {
        self.is_collecting || self.is_alone
    }
    /// Between readings by each of the fleet, if all of it has to read.
    fn fleet_period(&self) -> Milliseconds {
        fleet_period(self.fleet, self.calls, self.timing.rate).max(self.timing.period)
    }
    /// By chance, less than the span.
    fn part_of(&mut self, span: Milliseconds) -> Milliseconds {
        // SplitMix64.
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.chance;
        mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        Milliseconds((mixed ^ mixed >> 31) % span.0.max(1))
    }
    /// The span, an eighth more or less.
    fn about(&mut self, span: Milliseconds) -> Milliseconds {
        Milliseconds(span.0 - span.0 / 8 + self.part_of(Milliseconds(span.0 / 4)).0)
    }

    fn state(&self) -> ListState {
        let age = self.now.since(self.read_at.unwrap_or(self.now));
        ListState {
            version: self.version,
            check: self.check,
            cold: self.cold(),
            age,
        }
    }
    /// How long all servers together are still cold.
    fn cold(&self) -> Milliseconds {
        let left = self
            .entries
            .values()
            .filter_map(|entry| entry.cold_until.map(|deadline| self.now.until(deadline).0));
        Milliseconds(left.sum())
    }
    fn servers(&self) -> Vec<ServerEntry> {
        self.entries
            .values()
            .map(|entry| entry.told(self.now))
            .collect()
    }
    fn send(&mut self, to: Address, message: Message) {
        self.outputs.push(ListOutput::Send { to, message });
    }
    fn tell_zone(&mut self, message: &Message) {
        let others: Vec<Address> = self
            .zone
            .iter()
            .copied()
            .filter(|one| *one != self.own)
            .collect();
        others
            .into_iter()
            .for_each(|one| self.send(one, message.clone()));
    }

    /// This node has read the whole list.
    fn take_reading(&mut self, asked: MonotonicInstant, servers: Vec<ServerEntry>) {
        if self.read_at.is_some_and(|held| asked < held) {
            return;
        }
        let is_first = self.read_at.replace(asked).is_none();
        let now = self.now;
        let read = servers
            .into_iter()
            .map(|entry| (entry.server.clone(), Entry::new(entry, now)));
        let read: BTreeMap<ServerName, Entry> = read.collect();
        let is_held = |(name, entry): &(&ServerName, &Entry)| {
            self.entries
                .get(*name)
                .is_some_and(|held| held.is_like(entry, now, self.timing.cold_tolerance))
        };
        let set: Vec<Entry> = read
            .iter()
            .filter(|one| !is_held(one))
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
                self.tell_zone(&Message::ListFresh { state });
            }
            return;
        }
        gone.iter().for_each(|name| drop(self.entries.remove(name)));
        let told: Vec<ServerEntry> = set.iter().map(|entry| entry.told(now)).collect();
        self.entries.extend(
            set.into_iter()
                .map(|entry| (entry.entry.server.clone(), entry)),
        );
        self.number += 1;
        let base = std::mem::replace(
            &mut self.version,
            ListVersion {
                incarnation: self.incarnation,
                number: self.number,
            },
        );
        self.check = check_of(&self.entries);
        self.outputs.push(ListOutput::Servers(self.servers()));
        if self.is_collecting {
            let state = self.state();
            let is_long = told.iter().map(bytes_of).sum::<usize>() > PIECE;
            self.tell_zone(&match is_first || is_long {
                // Whoever holds something else asks for the whole.
                true => Message::ListFresh { state },
                false => Message::ListChange {
                    change: Box::new(ListChange {
                        state,
                        base,
                        set: told,
                        gone,
                    }),
                },
            });
        }
    }

    /// A collector that is silent for long should have told the list: reading here went well, or nothing is known
    /// here, and waiting for one that is gone would be for ever.
    fn doubt(&mut self) {
        let (Some(collector), since) = self.collector else {
            return;
        };
        let is_long = self.now.since(since) >= self.timing.silence;
        if self.has_teller() && is_long && self.is_silent() {
            self.outputs.push(ListOutput::Unheard(collector));
        }
    }

    /// When the reading began that another tells of, if no list that is held here was read later.
    fn date(&self, state: &ListState, told: MonotonicInstant) -> Option<MonotonicInstant> {
        let at = told - state.age;
        self.read_at.is_none_or(|held| at >= held).then_some(at)
    }
    /// Whether what is held here is what the other holds: the same version, or the same entries, as cold.
    fn has(&self, state: &ListState) -> bool {
        let is_as_cold = || self.cold().0.abs_diff(state.cold.0) <= self.timing.cold_tolerance.0;
        self.read_at.is_some()
            && (self.version == state.version || (self.check == state.check && is_as_cold()))
    }
    /// A collector has told that what is held here now is what the list shows.
    fn confirm(&mut self, from: Address, state: &ListState, at: MonotonicInstant) {
        self.read_at = Some(at);
        self.version = state.version;
        self.heard = Some((from, self.now));
        self.is_alone = false;
        self.fetching = None;
    }

    fn on_fresh(&mut self, from: Address, state: &ListState) {
        let Some(at) = self.date(state, self.now) else {
            return;
        };
        match self.has(state) {
            true => self.confirm(from, state, at),
            false => self.ask(from, state),
        }
    }

    fn on_change(&mut self, from: Address, change: &ListChange) {
        let Some(at) = self.date(&change.state, self.now) else {
            return;
        };
        if self.has(&change.state) {
            return self.confirm(from, &change.state, at);
        }
        if self.read_at.is_some() && self.version == change.base {
            let mut entries = self.entries.clone();
            change
                .gone
                .iter()
                .for_each(|name| drop(entries.remove(name)));
            let set = change
                .set
                .iter()
                .map(|entry| (entry.server.clone(), Entry::new(entry.clone(), self.now)));
            entries.extend(set);
            if check_of(&entries) == change.state.check {
                return self.take_entries(from, &change.state, at, entries);
            }
        }
        self.ask(from, &change.state);
    }

    fn take_entries(
        &mut self,
        from: Address,
        state: &ListState,
        at: MonotonicInstant,
        entries: BTreeMap<ServerName, Entry>,
    ) {
        self.entries = entries;
        self.check = state.check;
        self.confirm(from, state, at);
        self.outputs.push(ListOutput::Servers(self.servers()));
    }

    /// Asks for the whole.
    fn ask(&mut self, from: Address, state: &ListState) {
        if self
            .fetching
            .as_ref()
            .is_some_and(|fetching| self.now.since(fetching.asked) < FETCH_DEADLINE)
        {
            return;
        }
        let (version, asked) = (state.version, self.now);
        self.fetching = Some(Fetching {
            from,
            version,
            entries: vec![],
            asked,
        });
        self.send(from, Message::ServerListRequest { version, offset: 0 });
    }

    fn on_ask(&mut self, from: Address, version: ListVersion, offset: u32) {
        if !self.is_collecting || !self.is_known() {
            return;
        }
        // The list may have changed since the piece before: then from its beginning.
        let offset = if version == self.version { offset } else { 0 };
        let mut bytes = 0;
        let fits = |entry: &ServerEntry| {
            bytes += bytes_of(entry);
            bytes <= PIECE
        };
        let rest = self
            .entries
            .values()
            .skip(offset as usize)
            .map(|entry| entry.told(self.now));
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
                piece: Box::new(piece),
            },
        );
    }

    fn on_piece(&mut self, from: Address, piece: &ServerListChunk) {
        let Some(mut fetching) = self.fetching.take_if(|fetching| fetching.from == from) else {
            return;
        };
        let ServerListChunk {
            state,
            offset,
            length,
            entries,
        } = piece;
        if state.version != fetching.version {
            (fetching.version, fetching.entries) = (state.version, vec![]);
        }
        if *offset as usize == fetching.entries.len() {
            fetching.entries.extend(
                entries
                    .iter()
                    .map(|entry| Entry::new(entry.clone(), self.now)),
            );
            if fetching.entries.len() >= *length as usize {
                // Read before this node asked, however long the letters took.
                let at = self.date(state, fetching.asked);
                let entries = fetching
                    .entries
                    .into_iter()
                    .map(|entry| (entry.entry.server.clone(), entry));
                let entries: BTreeMap<ServerName, Entry> = entries.collect();
                if let Some(at) = at.filter(|_| check_of(&entries) == state.check) {
                    self.take_entries(from, state, at, entries);
                }
                return;
            }
            fetching.asked = self.now;
            let (version, offset) = (fetching.version, fetching.entries.len() as u32);
            self.send(from, Message::ServerListRequest { version, offset });
        }
        self.fetching = Some(fetching);
    }
}

/// How long each of `members` waits between readings, so that all together make no more than two thirds of
/// `rate` calls a second, each reading taking so many.
fn fleet_period(members: usize, calls: usize, rate: u64) -> Milliseconds {
    Milliseconds(members as u64 * calls.max(1) as u64 * 1500 / rate.max(1))
}

#[cfg(test)]
mod tests;
