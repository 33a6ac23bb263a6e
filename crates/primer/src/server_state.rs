use crate::prelude::*;

/// One server, as this node sees it.
///
/// Invariants: `own` counts this node's orders there that have not ended. Residency belongs to one
/// incarnation; another one starts empty. A server that was suspected ramps up anew.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// Its zone.
    pub hall: HallName,
    /// Its pool.
    pub pool: String,
    /// Whether the newest roll lists it.
    pub is_listed: bool,
    /// Whether it gets no new work.
    pub is_leaving: bool,
    /// Its life, if it told one.
    pub incarnation: Option<u64>,
    /// What it runs, if it told.
    pub weights: Option<String>,
    /// Whether it has refused KV orders as unknown.
    pub knows_kv: bool,
    /// From when its ramp counts.
    pub ramp_from: Moment,
    /// Slots, if it told.
    pub slots: Option<u32>,
    /// Its last report: running and waiting, and when it came.
    pub reported: Option<(u32, Moment)>,
    /// This node's orders there.
    pub own: u32,
    /// Failures one after another.
    pub faults: u32,
    /// How much later than expected its first pieces came lately, in ms, smoothed.
    pub lag: u64,
    /// First pieces that came far too late, one after another.
    pub late: u32,
    /// No work until then.
    pub suspect_until: Option<Moment>,
    /// What it holds.
    pub residency: Residency,
    /// Prefill of a block in microseconds.
    pub block_micros: u64,
    /// How long an order holds a slot.
    pub hold: Span,
}

impl ServerState {
    /// When first seen.
    pub fn new(entry: &RollEntry, now: Moment, rules: &DeskRules) -> Self {
        ServerState {
            hall: entry.hall.clone(),
            pool: entry.pool.clone(),
            is_listed: true,
            is_leaving: entry.is_leaving,
            incarnation: None,
            weights: None,
            knows_kv: true,
            ramp_from: now,
            slots: None,
            reported: None,
            own: 0,
            faults: 0,
            lag: 0,
            late: 0,
            suspect_until: None,
            residency: Residency::default(),
            block_micros: rules.block_micros,
            hold: rules.hold,
        }
    }
    /// What the whole fleet may have in hand there now.
    pub fn cap(&self, full: u32, now: Moment, rules: &DeskRules) -> u32 {
        let age = now.since(self.ramp_from);
        if age >= rules.ramp {
            return full;
        }
        let grown = u64::from(full) * age.0 / rules.ramp.0.max(1);
        full.min(rules.ramp_start.max(grown as u32))
    }
    /// Whether it's still ramping up.
    pub fn is_fresh(&self, now: Moment, rules: &DeskRules) -> bool {
        now.since(self.ramp_from) < rules.ramp
    }
    /// Whether it's kept from work after faults.
    pub fn is_suspect(&self, now: Moment) -> bool {
        self.suspect_until.is_some_and(|due| now < due)
    }
    /// An order failed there. Gives how long it is kept from work, if it is.
    pub fn fault(&mut self, now: Moment, is_certain: bool) -> Option<Span> {
        self.faults += 1;
        let needed = if is_certain { 1 } else { 2 };
        if self.faults < needed || self.is_suspect(now) {
            return None;
        }
        let span = Span((500u64 << self.faults.min(5)).min(8000));
        self.suspect_until = Some(now + span);
        self.ramp_from = now + span;
        Some(span)
    }
    /// A first piece came this much later than expected, while its kin are `usual` late. Says whether it's
    /// far too slow: a server that answers, but slowly, is as bad as one that doesn't.
    pub fn note_lag(&mut self, lag: u64, usual: u64) -> bool {
        self.lag = (self.lag * 3 + lag) / 4;
        self.late = if lag > LAG_SLACK + usual * 4 { self.late + 1 } else { 0 };
        self.late >= LATE_MOST
    }
    /// An order went well there.
    pub fn well(&mut self) {
        self.faults = 0;
    }
}

/// A first piece may come this much later than expected, in ms, besides what is usual.
const LAG_SLACK: u64 = 400;
/// So many late ones in a row are no chance.
const LATE_MOST: u32 = 2;

#[cfg(test)]
mod tests {
    use super::*;

    fn state() -> ServerState {
        let entry = RollEntry {
            server: "s".into(),
            hall: "h".into(),
            pool: "model".into(),
            is_leaving: false,
            ..RollEntry::default()
        };
        ServerState::new(&entry, Moment(0), &DeskRules::default())
    }

    #[test]
    fn one_that_is_slow_while_its_kin_are_not_is_found_and_common_slowness_is_not() {
        let mut server = state();
        let found: Vec<bool> = [900, 900, 20, 900, 900, 900].map(|lag| server.note_lag(lag, 10)).to_vec();
        assert_eq!(found, [false, true, false, false, true, true]);
        let mut server = state();
        assert!(!(0..20).any(|_| server.note_lag(900, 300)), "all are as slow: that's load");
    }

    #[test]
    fn a_fresh_server_ramps_and_a_faulty_one_starts_over() {
        let rules = DeskRules::default();
        let mut server = state();
        let caps: Vec<u32> = [0, 2000, 4000, 8000].map(|at| server.cap(8, Moment(at), &rules)).to_vec();
        assert_eq!(caps, [2, 2, 4, 8]);
        assert_eq!(server.fault(Moment(9000), false), None, "one doubtful fault is no proof");
        let span = server.fault(Moment(9000), false).expect("two are");
        assert!(server.is_suspect(Moment(9000)));
        assert!(!server.is_suspect(Moment(9000) + span));
        assert_eq!(server.cap(8, Moment(9000) + span, &rules), 2);
    }
}
