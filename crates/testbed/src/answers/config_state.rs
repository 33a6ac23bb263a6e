//! What the servers of a lane saw, and what must never be.

use super::play::Play;
use placement::mix;
use std::collections::BTreeMap;

/// What calls of a route allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    /// They may run more than once.
    Idempotent,
    /// They run once at most.
    Mutating,
    /// Streams that may be taken up at another server.
    Resumable,
    /// Streams that run once at most.
    OnceStream,
}

impl CallKind {
    /// All of them.
    pub(super) const ALL: [CallKind; 4] = [
        CallKind::Idempotent,
        CallKind::Mutating,
        CallKind::Resumable,
        CallKind::OnceStream,
    ];

    /// The prefix of its route, and the route's name.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            CallKind::Idempotent => "/idempotent/",
            CallKind::Mutating => "/mutating/",
            CallKind::Resumable => "/resumable/",
            CallKind::OnceStream => "/once-stream/",
        }
    }
    /// Whether it may run more than once.
    pub(super) fn may_repeat(self) -> bool {
        matches!(self, CallKind::Idempotent | CallKind::Resumable)
    }
    /// Whether it's a stream.
    pub(super) fn is_stream(self) -> bool {
        matches!(self, CallKind::Resumable | CallKind::OnceStream)
    }
}

/// Events of each stream.
pub(super) const EVENTS: u64 = 8;

/// The body that a server gives to a call, behind this event of a stream.
pub(super) fn body_of(kind: CallKind, id: &str, after: u64) -> String {
    if kind.is_stream() {
        (after + 1..=EVENTS)
            .map(|number| format!("id: {number}\ndata: {id} {number}\n\n"))
            .collect()
    } else {
        format!(
            "the answer to {id}, {}",
            "x".repeat((mix(id.len() as u64) % 64) as usize)
        )
    }
}

/// One run of a call.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The mark on its answer.
    pub mark: String,
    /// What the server did with it.
    pub play: Play,
    /// Whether another answer stood in its place.
    pub is_displaced: bool,
}

/// One call, as the servers saw it.
#[derive(Debug, Clone)]
pub(super) struct CallRecord {
    /// What its route allows.
    pub kind: CallKind,
    /// Its runs.
    pub runs: Vec<Run>,
    /// How often it came to a server, run or not.
    pub arrivals: u64,
    /// What the client was told, if that was a promise that it never ran.
    pub refused_with: Option<u16>,
}

/// What the servers of a lane saw.
#[derive(Debug, Default)]
pub(super) struct ConfigStateMachine {
    calls: BTreeMap<String, CallRecord>,
    /// A call was placed at this server under an epoch that is in force no more.
    pub outdated: Option<(String, String)>,
    /// Runs by what the server did.
    pub plays: BTreeMap<Play, u64>,
    /// What must never be, and was.
    pub violations: Vec<String>,
}

impl ConfigStateMachine {
    /// A client sends a call.
    pub(super) fn sent(&mut self, id: &str, kind: CallKind) {
        let record = CallRecord {
            kind,
            runs: vec![],
            arrivals: 0,
            refused_with: None,
        };
        self.calls.insert(id.to_owned(), record);
    }
    /// A call, if a client sent it.
    pub(super) fn call(&self, id: &str) -> Option<&CallRecord> {
        self.calls.get(id)
    }
    /// Notes what must never be.
    pub(super) fn violate(&mut self, what: String) {
        self.violations.push(what);
    }
    /// A call came to a server; tells how often it had come before.
    pub(super) fn arrived(&mut self, id: &str, server: &str) -> u64 {
        if self
            .outdated
            .as_ref()
            .is_some_and(|(call, at)| call == id && at == server)
        {
            self.violate(format!(
                "{id} was sent to {server} under an epoch that is in force no more"
            ));
        }
        let Some(record) = self.calls.get_mut(id) else {
            self.violate(format!("{id} came to {server}, and no client sent it"));
            return 0;
        };
        record.arrivals += 1;
        record.arrivals - 1
    }
    /// A server treats a call like this; gives the run's mark if it runs it.
    pub(super) fn treated(
        &mut self,
        id: &str,
        server: &str,
        play: Play,
        is_displaced: bool,
    ) -> Option<String> {
        *self.plays.entry(play).or_default() += 1;
        if !play.runs() {
            return None;
        }
        let record = self.calls.get_mut(id)?;
        let mark = format!("{server}-{}", record.runs.len());
        record.runs.push(Run {
            mark: mark.clone(),
            play,
            is_displaced,
        });
        let (count, may_repeat, refused_with) = (
            record.runs.len(),
            record.kind.may_repeat(),
            record.refused_with,
        );
        if count > 1 && !may_repeat {
            self.violate(format!("{id} may run once and ran {count} times"));
        }
        if let Some(status) = refused_with {
            self.violate(format!("{id} ran after its client was told {status}"));
        }
        Some(mark)
    }
    /// A client was told that its call never ran and never will.
    pub(super) fn refused(&mut self, id: &str, status: u16) {
        let Some(record) = self.calls.get_mut(id) else {
            return;
        };
        record.refused_with = Some(status);
        let count = record.runs.len();
        if count > 0 {
            self.violate(format!(
                "{id} ran {count} times, and its client was told {status}"
            ));
        }
    }
}
