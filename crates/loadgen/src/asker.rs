use crate::mix::PlannedRequest;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::time::Instant;
use transport::{HttpClientError, HttpResponse, http_get, http_post, read_all};
use types::{Address, Milliseconds};

/// What became of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    /// The whole answer came.
    Complete,
    /// Told that it never ran.
    Refused(u64),
    /// The stream broke.
    Broken,
    /// Told, or left, not knowing.
    Unknown(u64),
}

/// A request as it went.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Its service.
    pub service: String,
    /// Its prompt's print, by which servers' logs name it.
    pub print: u64,
    /// What became of it.
    pub fate: Fate,
    /// Until the first piece, in ms.
    pub first_ms: Option<f64>,
    /// How often it was read on.
    pub resumed: u32,
    /// What must never be and was seen.
    pub violations: Vec<String>,
    /// What the refusal said.
    pub why: String,
    /// Whether a refusal for lack of room told when to come back.
    pub retry_after: Option<u64>,
}

/// Names a prompt.
pub fn print_of(prompt: &str) -> u64 {
    prompt.bytes().fold(3, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

const CONNECT: Milliseconds = Milliseconds(1000);
const READ: Milliseconds = Milliseconds(15_000);

/// Asks as a client would, and reads the answer to its end, through other routers if it must.
pub fn ask(planned: &PlannedRequest, routers: &[Address], first: usize) -> Asked {
    let mut asked = Asked {
        service: planned.service.to_owned(),
        print: print_of(&planned.prompt),
        fate: Fate::Unknown(0),
        first_ms: None,
        resumed: 0,
        violations: vec![],
        why: String::new(),
        retry_after: None,
    };
    let began = Instant::now();
    let router = routers[first % routers.len()];
    if planned.is_fetch {
        fetch(planned, router, &mut asked, began);
        return asked;
    }
    let body = serde_json::json!({
        "id": planned.id, "service": planned.service, "prompt": planned.prompt, "max_pieces": planned.pieces,
    });
    let outcome = http_post(
        &format!("http://{router}/v1/requests"),
        body.to_string().into_bytes(),
        CONNECT,
        READ,
    );
    let Some(response) = opened(outcome, &mut asked) else {
        return asked;
    };
    let mut reader = StreamReader {
        run: None,
        token: None,
        next: 0,
        print: asked.print,
    };
    let mut is_whole = reader.read(response, &mut asked, began);
    let mut turn = first;
    while !is_whole && asked.resumed < 5 && asked.violations.is_empty() {
        let Some(token) = reader.token.clone() else {
            break;
        };
        asked.resumed += 1;
        turn += 1;
        let router = routers[turn % routers.len()];
        let body = serde_json::json!({"token": token, "from": reader.next})
            .to_string()
            .into_bytes();
        match http_post(&format!("http://{router}/v1/resume"), body, CONNECT, READ) {
            Ok(response) if response.status() == 200 => {
                is_whole = reader.read(response, &mut asked, began)
            }
            Ok(response) if response.status() == 503 => {
                std::thread::sleep(std::time::Duration::from_millis(300));
            }
            Ok(_) => break,
            Err(_) => std::thread::sleep(std::time::Duration::from_millis(300)),
        }
    }
    asked.fate = if is_whole {
        Fate::Complete
    } else {
        Fate::Broken
    };
    asked
}

/// The answer's head: a stream to read, or the last word.
fn opened(
    outcome: Result<HttpResponse, HttpClientError>,
    asked: &mut Asked,
) -> Option<HttpResponse> {
    match outcome {
        Ok(response) if response.status() == 200 => Some(response),
        Ok(response) => {
            let retry_after = response
                .header("retry-after")
                .and_then(|value| value.parse().ok());
            asked.retry_after = retry_after;
            let value: Value = read_all(response, 1 << 20)
                .ok()
                .and_then(|b| serde_json::from_slice(&b).ok())
                .unwrap_or_default();
            let code = value["code"].as_u64().unwrap_or(0);
            asked.why = format!(
                "{} {}",
                value["result"].as_str().unwrap_or("?"),
                value["why"].as_str().unwrap_or("?")
            );
            let never_ran = value["ran"] == Value::Bool(false);
            asked.fate = if never_ran {
                Fate::Refused(code)
            } else {
                Fate::Unknown(code)
            };
            None
        }
        Err(HttpClientError::Withheld) => {
            (asked.fate, asked.why) = (Fate::Refused(0), "withheld".into());
            None
        }
        Err(HttpClientError::NotSent(why)) => {
            (asked.fate, asked.why) = (Fate::Refused(0), why);
            None
        }
        Err(HttpClientError::OutcomeUnknown(why)) => {
            (asked.fate, asked.why) = (Fate::Unknown(0), why);
            None
        }
    }
}

fn fetch(planned: &PlannedRequest, router: Address, asked: &mut Asked, began: Instant) {
    let url = format!(
        "http://{router}/v1/pages/{}/board/{}",
        planned.service, planned.id
    );
    let Some(response) = opened(http_get(&url, CONNECT, READ), asked) else {
        return;
    };
    match read_all(response, 1 << 20) {
        Ok(body) => {
            asked.first_ms = Some(began.elapsed().as_secs_f64() * 1000.0);
            asked.fate = Fate::Complete;
            let text = String::from_utf8_lossy(&body);
            if !text.contains(&planned.id) {
                asked
                    .violations
                    .push(format!("{}: another client's page: {text}", planned.id));
            }
        }
        Err(fault) => (asked.fate, asked.why) = (Fate::Broken, fault.to_string()),
    }
}

/// Reads streams of one request, and sees whether they are one stream.
struct StreamReader {
    run: Option<String>,
    token: Option<String>,
    next: u64,
    print: u64,
}

impl StreamReader {
    /// Whether the final record and the HTTP end came.
    fn read(&mut self, response: HttpResponse, asked: &mut Asked, began: Instant) -> bool {
        let mut is_ended = false;
        let mut lines = BufReader::new(response);
        loop {
            let mut line = String::new();
            match lines.read_line(&mut line) {
                Ok(0) => {
                    if !is_ended {
                        asked
                            .violations
                            .push("a clean HTTP end without a final record".into());
                    }
                    return is_ended;
                }
                Ok(_) if line.trim().is_empty() => {}
                Ok(_) if !line.ends_with('\n') => return false,
                Ok(_) => {
                    if is_ended {
                        asked
                            .violations
                            .push(format!("after the final record: {line}"));
                        return false;
                    }
                    let Ok(value) = serde_json::from_str::<Value>(&line) else {
                        asked.violations.push(format!("not JSON: {line}"));
                        return false;
                    };
                    is_ended = self.take(&value, asked, began);
                    if !asked.violations.is_empty() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    }

    /// Takes a record; says whether it's the final one.
    fn take(&mut self, value: &Value, asked: &mut Asked, began: Instant) -> bool {
        if let Some(run) = value["run"].as_str() {
            self.token = value["token"]
                .as_str()
                .map(str::to_owned)
                .or(self.token.take());
            if self.run.get_or_insert(run.to_owned()) != run {
                asked
                    .violations
                    .push(format!("spliced: run {run} after {:?}", self.run));
            }
        } else if let Some(n) = value["n"].as_u64() {
            if asked.first_ms.is_none() {
                asked.first_ms = Some(began.elapsed().as_secs_f64() * 1000.0);
            }
            if n != self.next {
                asked
                    .violations
                    .push(format!("piece {n} came where {} was due", self.next));
            }
            self.next = n + 1;
            let wanted = format!(
                "{}|{n}|{:x}",
                self.run.as_deref().unwrap_or("?"),
                self.print
            );
            if value["text"].as_str() != Some(wanted.as_str()) {
                asked.violations.push(format!(
                    "a piece of another run or client: {} instead of {wanted}",
                    value["text"]
                ));
            }
        } else if value["end"] == Value::Bool(true) {
            if value["pieces"].as_u64() != Some(self.next) {
                asked.violations.push(format!(
                    "the end says {} pieces, {} came",
                    value["pieces"], self.next
                ));
            }
            return true;
        } else {
            asked
                .violations
                .push(format!("a record of no kind: {value}"));
        }
        false
    }
}
