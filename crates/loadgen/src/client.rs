//! One client: sends a request, reads the response to its end, and checks each record of it.

use crate::workload::PlannedRequest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};
use transport::{HttpClientError, HttpResponse, http_get, http_post, read_all};
use types::{Address, Milliseconds};

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The complete response came.
    Complete,
    /// The client was told that the request never ran, with the result code; 0 if no response came.
    Refused(u64),
    /// The stream broke off and could not be resumed.
    Broken,
    /// The client doesn't know whether the request ran; with the result code, 0 if no response came.
    Unknown(u64),
}

/// A request and what its client saw of it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The service that the request went to.
    pub service: String,
    /// The fingerprint of the prompt, by which servers' logs name the request.
    pub print: u64,
    /// What became of the request.
    pub outcome: Outcome,
    /// The time until the first token, in ms.
    pub first_ms: Option<f64>,
    /// How often the stream was resumed.
    pub resumed: u32,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// The reason that came with a rejection.
    pub why: String,
    /// The seconds of `Retry-After`, if a rejection had it.
    pub retry_after: Option<u64>,
}

impl RequestRecord {
    /// A request that was not sent yet.
    pub(crate) fn new(planned: &PlannedRequest) -> Self {
        RequestRecord {
            service: planned.service.to_owned(),
            print: prompt_fingerprint(&planned.prompt),
            outcome: Outcome::Unknown(0),
            first_ms: None,
            resumed: 0,
            violations: vec![],
            why: String::new(),
            retry_after: None,
        }
    }
}

/// Returns the fingerprint of a prompt: FNV-1a's step over its bytes, begun with 3.
pub fn prompt_fingerprint(prompt: &str) -> u64 {
    prompt.bytes().fold(3, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

pub(crate) const CONNECT_TIMEOUT: Milliseconds = Milliseconds(1000);
pub(crate) const READ_TIMEOUT: Milliseconds = Milliseconds(15_000);
/// How often a broken stream is resumed at most.
const MAX_RESUMES: u32 = 5;
/// The pause before a stream is resumed again after a router was unavailable.
const RESUME_DELAY: Duration = Duration::from_millis(300);
/// Bytes of a page, or of a rejection, at most.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Sends a request as a client would and reads the response to its end, resuming it through other routers if
/// it must. `first` is the index of the first router, modulo their number.
pub fn send_planned(planned: &PlannedRequest, routers: &[Address], first: usize) -> RequestRecord {
    let mut record = RequestRecord::new(planned);
    let began = Instant::now();
    let router = routers[first % routers.len()];
    if planned.is_fetch {
        fetch(planned, router, &mut record, began);
        return record;
    }
    let outcome = http_post(
        &format!("http://{router}/v1/requests"),
        request_body(planned),
        CONNECT_TIMEOUT,
        READ_TIMEOUT,
    );
    if let Some(response) = accepted(outcome, &mut record) {
        let is_complete = read_stream(response, &mut record, began, routers, first);
        record.outcome = if is_complete {
            Outcome::Complete
        } else {
            Outcome::Broken
        };
    }
    record
}

/// Reads a stream, and resumes it as often as it may be; returns whether it's complete.
fn read_stream(
    response: HttpResponse,
    record: &mut RequestRecord,
    began: Instant,
    routers: &[Address],
    first: usize,
) -> bool {
    let mut reader = StreamReader::new(record.print);
    let mut is_complete = reader.read(response, record, began);
    let mut router_index = first;
    while !is_complete && record.resumed < MAX_RESUMES && record.violations.is_empty() {
        let Some(token) = reader.token.clone() else {
            break;
        };
        record.resumed += 1;
        router_index += 1;
        let router = routers[router_index % routers.len()];
        let body = json!({"token": token, "from": reader.next});
        let url = format!("http://{router}/v1/resume");
        let body = body.to_string().into_bytes();
        match http_post(&url, body, CONNECT_TIMEOUT, READ_TIMEOUT) {
            Ok(response) if response.status() == 200 => {
                is_complete = reader.read(response, record, began);
            }
            Ok(response) if response.status() == 503 => std::thread::sleep(RESUME_DELAY),
            Ok(_) => break,
            Err(_) => std::thread::sleep(RESUME_DELAY),
        }
    }
    is_complete
}

/// The response to be read if the request was accepted; else records why not.
fn accepted(
    outcome: Result<HttpResponse, HttpClientError>,
    record: &mut RequestRecord,
) -> Option<HttpResponse> {
    let (outcome, why) = match outcome {
        Ok(response) if response.status() == 200 => return Some(response),
        Ok(response) => {
            record_rejection(response, record);
            return None;
        }
        Err(HttpClientError::Withheld) => (Outcome::Refused(0), "withheld".into()),
        Err(HttpClientError::NotSent(why)) => (Outcome::Refused(0), why),
        Err(HttpClientError::OutcomeUnknown(why)) => (Outcome::Unknown(0), why),
    };
    record.outcome = outcome;
    record.why = why;
    None
}

fn record_rejection(response: HttpResponse, record: &mut RequestRecord) {
    record.retry_after = response
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    let body = read_all(response, MAX_BODY_BYTES).unwrap_or_default();
    record_rejection_body(&body, record);
}

/// Records what the body of a rejection says.
pub(crate) fn record_rejection_body(body: &[u8], record: &mut RequestRecord) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let code = value["code"].as_u64().unwrap_or(0);
    let result = value["result"].as_str().unwrap_or("?");
    let why = value["why"].as_str().unwrap_or("?");
    record.why = format!("{result} {why}");
    record.outcome = if value["ran"] == Value::Bool(false) {
        Outcome::Refused(code)
    } else {
        Outcome::Unknown(code)
    };
}

fn fetch(planned: &PlannedRequest, router: Address, record: &mut RequestRecord, began: Instant) {
    let url = format!(
        "http://{router}/v1/pages/{}/board/{}",
        planned.service, planned.id
    );
    let Some(response) = accepted(http_get(&url, CONNECT_TIMEOUT, READ_TIMEOUT), record) else {
        return;
    };
    match read_all(response, MAX_BODY_BYTES) {
        Ok(body) => record_page(planned, &body, record, began),
        Err(error) => {
            record.outcome = Outcome::Broken;
            record.why = error.to_string();
        }
    }
}

/// Records a complete page, and checks that it's the one that was asked for.
pub(crate) fn record_page(
    planned: &PlannedRequest,
    body: &[u8],
    record: &mut RequestRecord,
    began: Instant,
) {
    record.first_ms = Some(began.elapsed().as_secs_f64() * 1000.0);
    record.outcome = Outcome::Complete;
    let text = String::from_utf8_lossy(body);
    if !text.contains(&planned.id) {
        let violation = format!("{}: another client's page: {text}", planned.id);
        record.violations.push(violation);
    }
}

/// The body of a request for a stream.
pub(crate) fn request_body(planned: &PlannedRequest) -> Vec<u8> {
    let body = json!({
        "id": planned.id, "service": planned.service, "prompt": planned.prompt, "max_pieces": planned.pieces,
    });
    body.to_string().into_bytes()
}

/// Reads the streams of one request, and checks that they are parts of one stream.
pub(crate) struct StreamReader {
    run: Option<String>,
    token: Option<String>,
    /// The number of the token that is due.
    next: u64,
    print: u64,
}

impl StreamReader {
    /// A reader of the streams of the request with this fingerprint.
    pub(crate) fn new(print: u64) -> Self {
        StreamReader {
            run: None,
            token: None,
            next: 0,
            print,
        }
    }

    /// Reads a response; returns whether the final record and the HTTP end came.
    pub(crate) fn read(
        &mut self,
        response: impl Read,
        record: &mut RequestRecord,
        began: Instant,
    ) -> bool {
        let mut is_ended = false;
        let mut lines = BufReader::new(response);
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                Ok(0) => {
                    if !is_ended {
                        let violation = "a clean HTTP end without a final record".into();
                        record.violations.push(violation);
                    }
                    return is_ended;
                }
                Ok(_) if line.trim().is_empty() => {}
                Ok(_) if !line.ends_with('\n') => return false,
                Ok(_) if is_ended => {
                    let violation = format!("after the final record: {line}");
                    record.violations.push(violation);
                    return false;
                }
                Ok(_) => match serde_json::from_str::<Value>(&line) {
                    Ok(value) => is_ended = self.check_record(&value, record, began),
                    Err(_) => record.violations.push(format!("not JSON: {line}")),
                },
                Err(_) => return false,
            }
            if !record.violations.is_empty() {
                return false;
            }
        }
    }

    /// Checks a record of the stream; returns whether it's the final one.
    fn check_record(&mut self, value: &Value, record: &mut RequestRecord, began: Instant) -> bool {
        if let Some(run) = value["run"].as_str() {
            self.check_run(run, value, record);
        } else if let Some(number) = value["n"].as_u64() {
            if record.first_ms.is_none() {
                record.first_ms = Some(began.elapsed().as_secs_f64() * 1000.0);
            }
            self.check_token(number, value, record);
        } else if value["end"] == Value::Bool(true) {
            self.check_end(value, record);
            return true;
        } else {
            let violation = format!("a record of no kind: {value}");
            record.violations.push(violation);
        }
        false
    }

    fn check_run(&mut self, run: &str, value: &Value, record: &mut RequestRecord) {
        let token = value["token"].as_str().map(str::to_owned);
        self.token = token.or(self.token.take());
        if self.run.get_or_insert(run.to_owned()) != run {
            let violation = format!("spliced: run {run} after {:?}", self.run);
            record.violations.push(violation);
        }
    }

    fn check_token(&mut self, number: u64, value: &Value, record: &mut RequestRecord) {
        if number != self.next {
            let violation = format!("piece {number} came where {} was due", self.next);
            record.violations.push(violation);
        }
        self.next = number + 1;
        let run = self.run.as_deref().unwrap_or("?");
        let expected = format!("{run}|{number}|{:x}", self.print);
        if value["text"].as_str() != Some(expected.as_str()) {
            let violation = format!(
                "a piece of another run or client: {} instead of {expected}",
                value["text"]
            );
            record.violations.push(violation);
        }
    }

    fn check_end(&self, value: &Value, record: &mut RequestRecord) {
        if value["pieces"].as_u64() != Some(self.next) {
            let violation = format!(
                "the end says {} pieces, {} came",
                value["pieces"], self.next
            );
            record.violations.push(violation);
        }
    }
}
