//! Result codes: what became of a request, a plan or a message, as stable numbers.
//! `docs/result-codes.md` lists them.

use crate::moment::Milliseconds;
use std::fmt;

macro_rules! result_codes {
    ($($name:ident = $number:literal, $http:literal, $back:literal, $word:literal, $what:literal;)*) => {
        /// What became of a request, a plan or a message, as a number
        /// that never changes its meaning.
        ///
        /// Invariant: 1xx means that the request never ran and never will; 2xx that it may have
        /// run; 3xx concern operators; 4xx concern our own processes. A number that is no more used
        /// (112) comes back for nothing else.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
        pub enum ResultCode {
            $(#[doc = $what] $name,)*
        }

        impl ResultCode {
            /// All result codes, in order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name),*];
            /// The number of the code, which never changes.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number),* }
            }
            /// The HTTP status that an answer with this code has.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $http),* }
            }
            /// After how long a retry may help, if it may: sent as `retry-after` unless something
            /// later is known.
            pub fn comes_back(self) -> Option<Milliseconds> {
                let seconds = match self { $(ResultCode::$name => $back),* };
                (seconds > 0).then(|| Milliseconds::seconds(seconds))
            }
            /// The short name of the code, as in logs and answers.
            pub fn word(self) -> &'static str {
                match self { $(ResultCode::$name => $word),* }
            }
            /// One sentence about the code, for operators and clients.
            pub fn meaning(self) -> &'static str {
                match self { $(ResultCode::$name => $what),* }
            }
        }
    };
}

result_codes! {
    Complete = 0, 200, 0, "complete", "The whole answer was given.";
    BadRequest = 100, 400, 0, "bad-request", "The request can't be read; nothing ran.";
    UnknownService = 101, 404, 0, "unknown-service", "No accepted plan allows this service; nothing ran.";
    TooLarge = 102, 413, 0, "too-large", "The body, or with status 431 the head, is over the bound; nothing ran.";
    Crowded = 103, 429, 1, "crowded", "The first piece would come later than the plan allows; nothing ran. Come back after Retry-After.";
    NoServer = 104, 503, 1, "no-server", "No server that the plan allows can take it now; nothing ran.";
    NotReady = 105, 503, 1, "not-ready", "This node has no live lease or configuration; nothing ran.";
    Draining = 106, 503, 1, "draining", "This node is stopping; nothing ran. Ask another.";
    Busy = 107, 503, 1, "busy", "This node is at its bound of requests; nothing ran.";
    ServerRefused = 108, 503, 1, "server-refused", "The servers asked refused it without running it.";
    Unsent = 109, 503, 1, "unsent", "No byte of it reached a server.";
    SlowBody = 110, 408, 1, "slow-body", "The request did not arrive whole in time; nothing ran.";
    BadToken = 111, 400, 0, "bad-token", "The resume token can't be read; nothing ran.";
    NotFound = 113, 404, 0, "not-found", "There is nothing at this path.";
    Unauthorized = 114, 401, 0, "unauthorized", "It bears no API key that the plan in force knows; nothing ran.";
    OverQuota = 115, 429, 1, "over-quota", "Its tenant is beyond its quota; nothing ran. Come back after Retry-After.";
    QuotaUnknown = 116, 503, 1, "quota-unknown", "The core did not tell in time whether the tenant's quota has room; nothing ran.";
    Unknown = 200, 502, 0, "unknown", "It may have run: the server was asked and gave no answer.";
    Broken = 201, 502, 0, "broken", "The stream ended before its final record.";
    ResumeFailed = 202, 410, 0, "resume-failed", "That run can't be read on from there; it is not run again.";
    StreamFault = 203, 502, 0, "stream-fault", "The server's pieces were out of order; the stream was cut.";
    RequestIdTaken = 204, 409, 0, "request-id-taken", "A request of this id is in hand here, or was given to a server lately; that one may have run.";
    OutOfReach = 205, 503, 1, "out-of-reach", "The run's server can't be reached now; nothing of the run is lost by asking again.";
    Accepted = 300, 200, 0, "accepted", "The change is on as many disks as the settings say, and known to as many nodes.";
    BadPlan = 301, 422, 0, "bad-plan", "The plan has faults, listed by path; nothing changed.";
    Conflict = 302, 409, 0, "conflict", "It builds on an epoch that is not the latest; it never takes effect.";
    CoreNotReady = 303, 503, 1, "core-not-ready", "The core can't take changes now; nothing changed.";
    FateUnknown = 304, 504, 1, "fate-unknown", "No answer in time; ask for its fate by its id.";
    UnknownEpoch = 305, 404, 0, "unknown-epoch", "No such epoch was accepted.";
    UnknownZone = 306, 404, 0, "unknown-zone", "No accepted plan or node names this zone.";
    UnknownChange = 307, 404, 0, "unknown-change", "No change of this id was accepted.";
    IdReused = 308, 409, 0, "id-reused", "This id was used for a different change; nothing changed.";
    UnknownMember = 309, 404, 0, "unknown-member", "No member has this address; nothing changed.";
    StillHeard = 310, 409, 0, "still-heard", "One that is said to be lost is still heard; nothing changed.";
    TooOldToKnow = 311, 410, 0, "too-old-to-know", "It is older than the changes that are remembered: nothing changed now, and whether it was accepted once is not known.";
    NoLongerKept = 312, 410, 0, "no-longer-kept", "It was accepted so long ago, or is so large, that what was sent is no longer kept.";
    Overtaken = 313, 503, 1, "overtaken", "A later change of this zone was accepted first; nothing changed. Send it again if it is still wanted.";
    BadMessage = 400, 400, 0, "bad-letter", "An inner letter was torn, too long or failed its check.";
    WrongProtocol = 401, 400, 0, "wrong-protocol", "The peer speaks another version of the inner protocol.";
    BadSettings = 402, 500, 0, "bad-settings", "The settings can't be used; exit code 2.";
    DiskFault = 403, 500, 1, "disk-fault", "The disk refused a write; this controller steps out of the chain.";
}

impl ResultCode {
    /// Whether the code says that the request never ran and never will.
    pub fn is_refusal(self) -> bool {
        (100..200).contains(&self.number())
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.word())
    }
}

#[cfg(test)]
mod tests;
