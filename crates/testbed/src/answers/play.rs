//! What a stand-in server does with one request: each row of the state chart in docs/request-safety.md.

use clap::ValueEnum;
use placement::mix;

/// How a server treats a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, ValueEnum)]
pub enum Play {
    /// Runs it and answers it whole, with a length.
    Whole,
    /// Runs it and answers it whole, in chunks.
    WholeInChunks,
    /// Runs it; interim answers come before the answer.
    Interim,
    /// Runs it and answers it whole, and says that it closes.
    CloseSaid,
    /// Runs it, answers it whole and closes without a word.
    CloseUnsaid,
    /// Runs it; a second answer with the same id follows.
    SurplusOwn,
    /// Runs it; a refusal without an id follows at once.
    SurplusRefusal,
    /// Runs it; another one's answer follows at once.
    SurplusForeign,
    /// Runs it; bytes that are no answer follow.
    SurplusGarbage,
    /// Runs it; a refusal without an id stands in the place of the next answer.
    LateRefusal,
    /// Runs it; a 421 without an id stands in the place of the next answer.
    LateElsewhere,
    /// Runs it; its answer stands once more in the place of the next one.
    LateOwn,
    /// Runs it and answers that it failed.
    Failed,
    /// Runs it and breaks the connection by a reset before the answer.
    ResetRun,
    /// Runs it and closes before the answer.
    CloseRun,
    /// Runs it, closes its side alone, and answers nothing.
    HalfClose,
    /// Runs it; the connection ends within the head.
    TornHead,
    /// Runs it; the connection ends within the body.
    TornBody,
    /// Runs it; the connection ends between two chunks.
    TornChunks,
    /// Runs it; a chunk's size is no number.
    BadChunk,
    /// Runs it; two lengths that differ.
    TwoLengths,
    /// Runs it; a length and chunks.
    LengthAndChunks,
    /// Runs it; only the close tells the end.
    EndByClose,
    /// Runs it and answers as HTTP/1.0 does, without a length.
    OldHttp,
    /// Runs it and answers with bytes that are not HTTP.
    Garbage,
    /// Runs it and answers with the id of another.
    ForeignId,
    /// Runs it and answers without an id.
    MissingId,
    /// Runs it and answers with two ids.
    TwoIds,
    /// Runs it and answers without the mark.
    MissingMark,
    /// Runs it and changes the protocol.
    SwitchProtocol,
    /// Runs it and says nothing.
    Silence,
    /// Doesn't run it and says so.
    Refused,
    /// Doesn't run it and says so without an id.
    RefusedUnnamed,
    /// Is another server, and says so.
    Elsewhere,
    /// Is another server, and says so without an id.
    ElsewhereUnnamed,
    /// Resets the connection without having read the request.
    ResetUnread,
    /// Refuses once it has read the head, and closes.
    RefusedEarly,
    /// Runs a stream up to its middle, and closes.
    TornStream,
    /// Begins a stream with what is no event.
    MalformedFirst,
    /// Sends what is no event in the middle of a stream.
    MalformedMiddle,
    /// Sends what is no event behind the last event of a stream, within the body.
    MalformedEnd,
    /// Runs a stream up to the middle of an event, and ends the body in order.
    EndInEvent,
    /// Runs a stream whose body has no length, and sends another answer behind it.
    AnswerInBody,
}

impl Play {
    /// Whether the server runs the request.
    pub fn runs(self) -> bool {
        use Play::{
            Elsewhere, ElsewhereUnnamed, Refused, RefusedEarly, RefusedUnnamed, ResetUnread,
        };
        !matches!(
            self,
            Elsewhere | ElsewhereUnnamed | Refused | RefusedEarly | RefusedUnnamed | ResetUnread
        )
    }
    /// Whether only the reader of a stream can tell that the answer is none. What isn't a stream is answered properly.
    pub fn is_malformed_stream(self) -> bool {
        use Play::{AnswerInBody, EndInEvent, MalformedEnd, MalformedFirst, MalformedMiddle};
        matches!(
            self,
            AnswerInBody | EndInEvent | MalformedEnd | MalformedFirst | MalformedMiddle
        )
    }
    /// Whether the client is to get the server's whole answer, if nothing stood in its place.
    pub fn answers_whole(self, is_stream: bool) -> bool {
        use Play::{
            CloseSaid, CloseUnsaid, Interim, LateElsewhere, LateOwn, LateRefusal, SurplusForeign,
            SurplusGarbage, SurplusOwn, SurplusRefusal, Whole, WholeInChunks,
        };
        if self.is_malformed_stream() {
            return !is_stream;
        }
        matches!(
            self,
            Whole
                | WholeInChunks
                | Interim
                | CloseSaid
                | CloseUnsaid
                | SurplusOwn
                | SurplusRefusal
                | SurplusForeign
                | SurplusGarbage
                | LateRefusal
                | LateElsewhere
                | LateOwn
        )
    }
    /// One by which the server doesn't run the request and says so, drawn by this number.
    pub fn draw_refusal(number: u64) -> Play {
        use Play::{Elsewhere, ElsewhereUnnamed, Refused, RefusedEarly, RefusedUnnamed};
        let all = [
            Refused,
            RefusedUnnamed,
            RefusedEarly,
            Elsewhere,
            ElsewhereUnnamed,
        ];
        all[(mix(number) % all.len() as u64) as usize]
    }
    /// Drawn by this number: plain answers half of the time, silence seldom, as it takes time.
    pub fn draw(number: u64) -> Play {
        let all = Play::value_variants();
        let drawn = mix(number);
        if drawn.is_multiple_of(2) {
            return Play::Whole;
        }
        let play = all[(mix(drawn) % all.len() as u64) as usize];
        if play == Play::Silence && !mix(drawn ^ 1).is_multiple_of(16) {
            Play::LateRefusal
        } else {
            play
        }
    }
}
