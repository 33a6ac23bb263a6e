use loadgen::prompt_fingerprint;
use placement::{PrefixHash, block_hashes};
use router::RunRequest;
use std::collections::{BTreeMap, HashMap};
use types::{Milliseconds, MonotonicInstant, RunId};

/// How a stand-in server works.
#[derive(Debug, Clone)]
pub struct ScheduleRules {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait; more are refused unrun.
    pub queue: usize,
    /// Prefill of an uncached block, in microseconds.
    pub block_micros: u64,
    /// Time to the first piece without prefill.
    pub base: Milliseconds,
    /// Between pieces.
    pub piece: Milliseconds,
    /// Blocks that the KV cache holds.
    pub cache_blocks: usize,
    /// How long a copy of KV takes.
    pub copy: Milliseconds,
    /// Bytes of a block.
    pub block_bytes: usize,
}

impl Default for ScheduleRules {
    fn default() -> Self {
        ScheduleRules {
            slots: 4,
            queue: 24,
            block_micros: 2500,
            base: Milliseconds(15),
            piece: Milliseconds(8),
            cache_blocks: 2600,
            copy: Milliseconds(250),
            block_bytes: 64,
        }
    }
}

/// What may be wrong with a server, on demand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerFault {
    /// It takes requests and never answers.
    pub is_dark: bool,
    /// It refuses all requests unrun.
    pub does_refuse: bool,
    /// It breaks streams after this many pieces.
    pub breaks_after: Option<u64>,
    /// It takes this many times as long; 0 is 1.
    pub slowness: u32,
    /// It does not know KV orders.
    pub lacks_kv: bool,
    /// It takes imports and never makes them.
    pub loses_copies: bool,
}

/// A server's work, worked out when a request comes: when it gets a slot, how long its prefill takes,
/// when each piece is there. No thread stands behind it.
///
/// Invariant: a run's id is taken once; what it was and gave never changes, except that a cancel ends
/// it early.
#[derive(Debug)]
pub struct Schedule {
    rules: ScheduleRules,
    slots: Vec<MonotonicInstant>,
    runs: HashMap<RunId, Run>,
    cache: BTreeMap<PrefixHash, u64>,
    uses: u64,
    imports: Vec<(MonotonicInstant, PrefixHash)>,
    /// What may be wrong.
    pub fault: ServerFault,
}

#[derive(Debug, Clone)]
struct Run {
    print: u64,
    slot: usize,
    start: MonotonicInstant,
    first: MonotonicInstant,
    piece: Milliseconds,
    pieces: u64,
    is_cancelled: bool,
    keep: bool,
    breaks_after: Option<u64>,
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// So many pieces are there; the next comes at that moment.
    Pieces(u64, MonotonicInstant),
    /// All are there.
    All(u64),
    /// It broke after so many.
    Broke(u64),
}

impl Schedule {
    /// A server that has just started.
    pub fn new(rules: ScheduleRules) -> Self {
        let slots = vec![MonotonicInstant(0); rules.slots];
        Schedule {
            rules,
            slots,
            runs: HashMap::new(),
            cache: BTreeMap::new(),
            uses: 0,
            imports: vec![],
            fault: ServerFault::default(),
        }
    }
    /// Takes a request; `false` if it's refused unrun.
    pub fn take(&mut self, request: &RunRequest, now: MonotonicInstant) -> bool {
        let waiting = self
            .runs
            .values()
            .filter(|run| run.start > now && !run.is_cancelled)
            .count();
        if waiting >= self.rules.queue
            || self.fault.does_refuse
            || self.runs.contains_key(&request.run)
        {
            return false;
        }
        self.make_imports(now);
        let hashes = block_hashes(request.prompt.as_bytes(), self.rules.block_bytes, 4096);
        let matched = hashes
            .iter()
            .rposition(|hash| self.cache.contains_key(hash))
            .map_or(0, |place| place + 1);
        for hash in &hashes {
            self.uses += 1;
            self.cache.insert(*hash, self.uses);
        }
        self.evict();
        let slow = u64::from(self.fault.slowness.max(1));
        let prefill =
            Milliseconds((hashes.len() - matched) as u64 * self.rules.block_micros * slow / 1000);
        let slot = (0..self.slots.len())
            .min_by_key(|slot| self.slots[*slot])
            .unwrap_or(0);
        let start = self.slots[slot].max(now);
        let first = start + Milliseconds(self.rules.base.0 * slow) + prefill;
        let piece = Milliseconds(self.rules.piece.0 * slow);
        let pieces = u64::from(request.max_pieces);
        self.slots[slot] = first + Milliseconds(piece.0 * pieces.saturating_sub(1));
        let breaks_after = self.fault.breaks_after;
        let print = prompt_fingerprint(&request.prompt);
        let run = Run {
            print,
            slot,
            start,
            first,
            piece,
            pieces,
            is_cancelled: false,
            keep: request.keep,
            breaks_after,
        };
        self.runs.insert(request.run.clone(), run);
        true
    }
    /// How far a run is; `None` if it isn't known.
    pub fn progress(&self, run: &RunId, now: MonotonicInstant) -> Option<Progress> {
        let run = self.runs.get(run)?;
        let there = if now < run.first {
            0
        } else {
            (1 + now.since(run.first).0 / run.piece.0.max(1)).min(run.pieces)
        };
        if run.is_cancelled {
            return Some(Progress::Broke(there));
        }
        if let Some(bound) = run.breaks_after.filter(|bound| there >= *bound) {
            return Some(Progress::Broke(bound));
        }
        Some(if there == run.pieces {
            Progress::All(there)
        } else {
            Progress::Pieces(there, run.first + Milliseconds(run.piece.0 * there))
        })
    }
    /// The text of a run's piece.
    pub fn text(&self, run: &RunId, n: u64) -> String {
        let print = self.runs.get(run).map_or(0, |run| run.print);
        format!("{run}|{n}|{print:x}")
    }
    /// Ends a run early.
    pub fn cancel(&mut self, run: &RunId, now: MonotonicInstant) -> bool {
        let Some(run) = self.runs.get_mut(run) else {
            return false;
        };
        let end = run.first + Milliseconds(run.piece.0 * run.pieces.saturating_sub(1));
        if !run.is_cancelled && end > now {
            run.is_cancelled = true;
            if self.slots[run.slot] == end {
                self.slots[run.slot] = now.max(run.start);
            }
        }
        true
    }
    /// Forgets all runs.
    pub fn forget_runs(&mut self) {
        self.runs.clear();
    }
    /// Nobody reads a run any more.
    pub fn abandon(&mut self, run: &RunId, now: MonotonicInstant) {
        if self.runs.get(run).is_some_and(|run| !run.keep) {
            self.cancel(run, now);
        }
    }
    /// Whether it would export this prefix.
    pub fn holds(&mut self, prefix: PrefixHash, now: MonotonicInstant) -> bool {
        self.make_imports(now);
        self.cache.contains_key(&prefix)
    }
    /// Takes an import; it's there after a while.
    pub fn import(&mut self, prefix: PrefixHash, now: MonotonicInstant) {
        if !self.fault.loses_copies {
            self.imports.push((now + self.rules.copy, prefix));
        }
    }
    /// Drops a prefix.
    pub fn drop_prefix(&mut self, prefix: PrefixHash) {
        self.cache.remove(&prefix);
    }
    /// Requests that run and that wait.
    pub fn load(&self, now: MonotonicInstant) -> (u32, u32) {
        let is_live = |run: &&Run| !run.is_cancelled;
        let end = |run: &Run| run.first + Milliseconds(run.piece.0 * run.pieces.saturating_sub(1));
        let running = self
            .runs
            .values()
            .filter(is_live)
            .filter(|run| run.start <= now && now < end(run))
            .count();
        let waiting = self
            .runs
            .values()
            .filter(is_live)
            .filter(|run| run.start > now)
            .count();
        (running as u32, waiting as u32)
    }
    /// How many slots.
    pub fn slots(&self) -> usize {
        self.rules.slots
    }

    fn make_imports(&mut self, now: MonotonicInstant) {
        let (deadline, later) = std::mem::take(&mut self.imports)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.imports = later;
        let deadline: Vec<(MonotonicInstant, PrefixHash)> = deadline;
        for (_, prefix) in deadline {
            self.uses += 1;
            self.cache.insert(prefix, self.uses);
        }
    }
    fn evict(&mut self) {
        if self.cache.len() <= self.rules.cache_blocks {
            return;
        }
        let mut uses: Vec<u64> = self.cache.values().copied().collect();
        uses.sort_unstable();
        let oldest_kept = uses[uses.len() - self.rules.cache_blocks * 9 / 10];
        self.cache.retain(|_, used| *used >= oldest_kept);
    }
}

#[cfg(test)]
mod tests;
