//! The text of a stand-in server's response, proper or faulty.

use crate::answers::dialect::{ID, MARK, NOT_RUN};
use crate::answers::play::Play;

/// What the responses to one request are made of.
pub(super) struct ResponseParts<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The body of the proper response.
    pub body: &'a str,
    /// The mark that shows which run it comes from.
    pub mark: &'a str,
    /// Whether the body is a stream of events.
    pub is_stream: bool,
}

/// Headers of a response that belongs to another request.
fn foreign_headers() -> String {
    format!("{ID}: other\r\n{MARK}: other\r\n")
}

impl ResponseParts<'_> {
    /// Everything that is sent at once. Empty where nothing is sent.
    pub(super) fn text(&self, play: Play) -> String {
        let (id, mark, marked) = (self.id, self.mark, self.marked_headers());
        match play {
            Play::Whole | Play::CloseUnsaid => self.complete(),
            Play::LateRefusal | Play::LateElsewhere | Play::LateOwn => self.complete(),
            Play::WholeInChunks => self.chunked_head() + &chunk(self.body) + "0\r\n\r\n",
            Play::Interim => INTERIM.to_owned() + &self.complete(),
            Play::CloseSaid => self.with_headers(&(marked + "connection: close\r\n")),
            Play::SurplusOwn => self.complete() + &self.complete(),
            Play::SurplusRefusal => self.complete() + &refusal(503, None),
            Play::SurplusForeign => self.complete() + &self.with_headers(&foreign_headers()),
            Play::SurplusGarbage => self.complete() + "and more\r\n\r\n",
            Play::Failed => {
                format!("HTTP/1.1 500 Ill\r\n{ID}: {id}\r\ncontent-length: 3\r\n\r\nill")
            }
            Play::ResetRun | Play::ResetUnread | Play::CloseRun => String::new(),
            Play::HalfClose | Play::Silence => String::new(),
            Play::TornHead => format!("HTTP/1.1 200 OK\r\n{ID}: {id}"),
            Play::TornBody => self.torn_body(),
            Play::TornChunks | Play::TornStream => self.chunked_head() + &chunk(self.half()),
            Play::BadChunk => self.chunked_head() + &chunk(self.half()) + "no size\r\n",
            Play::TwoLengths => self.with_headers(&(marked + "content-length: 1\r\n")),
            Play::LengthAndChunks => self.length_and_chunks(),
            Play::EndByClose => format!("HTTP/1.1 200 OK\r\n{marked}\r\n{}", self.half()),
            Play::OldHttp => format!("HTTP/1.0 200 OK\r\n{marked}\r\n{}", self.half()),
            Play::Garbage => "certainly not\r\n\r\n".to_owned(),
            Play::ForeignId => self.with_headers(&foreign_headers()),
            Play::MissingId => self.with_headers(&format!("{MARK}: {mark}\r\n")),
            Play::TwoIds => self.with_headers(&format!("{marked}{ID}: other\r\n")),
            Play::MissingMark => self.with_headers(&format!("{ID}: {id}\r\n")),
            Play::SwitchProtocol => self.switch_protocol(),
            Play::Refused | Play::RefusedEarly => refusal(503, Some(id)),
            Play::RefusedUnnamed => refusal(503, None),
            Play::Elsewhere => refusal(421, Some(id)),
            Play::ElsewhereUnnamed => refusal(421, None),
            _ if !self.is_stream => self.complete(),
            Play::MalformedFirst => self.malformed_behind(0),
            Play::MalformedMiddle => self.malformed_behind(self.middle()),
            Play::MalformedEnd => self.malformed_behind(self.body.len()),
            Play::EndInEvent => self.end_in_event(),
            Play::AnswerInBody => {
                let (body, other) = (self.body, self.with_headers(&foreign_headers()));
                format!("HTTP/1.1 200 OK\r\n{marked}\r\n{body}{other}")
            }
        }
    }

    /// The proper response.
    pub(super) fn complete(&self) -> String {
        self.with_headers(&self.marked_headers())
    }

    fn marked_headers(&self) -> String {
        format!("{ID}: {}\r\n{MARK}: {}\r\n", self.id, self.mark)
    }

    fn with_headers(&self, headers: &str) -> String {
        let (length, body) = (self.body.len(), self.body);
        format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}")
    }

    fn chunked_head(&self) -> String {
        let headers = self.marked_headers();
        format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n")
    }

    fn torn_body(&self) -> String {
        let (headers, length) = (self.marked_headers(), self.body.len());
        let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n");
        head + self.half()
    }

    fn length_and_chunks(&self) -> String {
        let headers = self.marked_headers();
        let lengths = "transfer-encoding: chunked\r\ncontent-length: 3\r\n";
        let body = chunk(self.body);
        format!("HTTP/1.1 200 OK\r\n{headers}{lengths}\r\n{body}0\r\n\r\n")
    }

    fn switch_protocol(&self) -> String {
        let headers = self.marked_headers();
        format!("HTTP/1.1 101 Other\r\n{headers}connection: upgrade\r\nupgrade: other\r\n\r\n")
    }

    /// The stream in chunks, with what is no event behind so many bytes of it.
    fn malformed_behind(&self, length: usize) -> String {
        let (before, behind) = self.body.split_at(length);
        let malformed = MALFORMED[self.draw() % MALFORMED.len()];
        let parts = [before, malformed, behind].into_iter();
        let chunks: String = parts.filter(|part| !part.is_empty()).map(chunk).collect();
        self.chunked_head() + &chunks + "0\r\n\r\n"
    }

    /// The stream up to any byte of any of its events, with an end of the body by a length or by chunks.
    fn end_in_event(&self) -> String {
        let drawn = self.draw();
        let mut length = 1 + drawn % self.body.len().saturating_sub(2).max(1);
        if self.body[..length].ends_with("\n\n") {
            length -= 1;
        }
        let torn = &self.body[..length];
        if drawn.is_multiple_of(2) {
            return self.chunked_head() + &chunk(torn) + "0\r\n\r\n";
        }
        let headers = self.marked_headers();
        format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{torn}")
    }

    /// A number that differs from run to run.
    fn draw(&self) -> usize {
        self.mark.len() + self.id.bytes().map(usize::from).sum::<usize>()
    }

    /// Behind the first of its events.
    fn middle(&self) -> usize {
        self.body.find("\n\n").map_or(0, |end| end + 2)
    }

    fn half(&self) -> &str {
        &self.body[..self.body.len() / 2]
    }
}

/// What is no event of a stream.
const MALFORMED: [&str; 8] = [
    "certainly not\r\n\r\n",
    "certainly not",
    "data: nobody's\n\n",
    "id:\ndata: nobody's\n\n",
    "id: 9x\ndata: nobody's\n\n",
    "id: 900\nid: 901\ndata: nobody's\n\n",
    "id: 900\n\n",
    "HTTP/1.1 200 OK\r\nx-call: other\r\ncontent-length: 0\r\n\r\n",
];

/// Interim responses, sent ahead of the proper one.
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n";

/// A response that says that the request was not run. Without an id it names no request.
pub(super) fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map(|id| format!("{ID}: {id}\r\n")).unwrap_or_default();
    format!("HTTP/1.1 {status} No\r\n{id}{NOT_RUN}: 1\r\ncontent-length: 2\r\n\r\nno")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
