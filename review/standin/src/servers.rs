//! Stand-ins of the platform's list and of servers: what they are sent is recorded, and they can be told to misbehave.

use crate::net::Line;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server was sent.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub service: String,
    pub zone: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// 0: it ran; otherwise the status of the refusal.
    pub refused: u16,
}

impl Arrival {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// How a server works.
#[derive(Debug, Clone)]
pub struct Manner {
    pub first_ms: u64,
    pub gap_ms: u64,
    pub events: u64,
    /// Behind this event of a run comes nothing for so many ms: the request was put back and is read anew.
    pub pause_at: Option<(u64, u64)>,
    /// The connection is reset behind this many events of a run.
    pub breaks_after: Option<u64>,
    /// It runs the request and resets the connection before its answer.
    pub loses_answer: bool,
    /// It says nothing for so long, then answers.
    pub work_ms: u64,
    pub body: Vec<u8>,
}

pub struct Server {
    pub id: Mutex<String>,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_stream: bool,
    pub capacity: u32,
    pub manner: Mutex<Manner>,
    pub draining: AtomicBool,
    pub listed: AtomicBool,
    pub warmup_left_ms: Mutex<u64>,
    /// Until when it is cold, where it has become so again.
    pub cold_until: Mutex<Option<Instant>>,
    /// Prompts are read one after the other; what was read is kept.
    pub reading: Mutex<std::collections::HashSet<String>>,
    pub active: AtomicUsize,
    /// Streams that were sent to their end, and when.
    pub ended: Mutex<Vec<(String, Instant)>>,
    /// Whether it turns all requests away.
    pub sheds: AtomicBool,
    /// Whether reading a prompt takes time.
    pub reads: AtomicBool,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        is_stream: bool,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let server = Arc::new(Server {
            id: Mutex::new(id.into()),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("bound"),
            is_stream,
            capacity: if is_stream { 128 } else { 6 },
            manner: Mutex::new(Manner {
                first_ms: 20,
                gap_ms: 20,
                events: 4,
                pause_at: None,
                breaks_after: None,
                loses_answer: false,
                work_ms: 15,
                body: vec![b'x'; 800],
            }),
            draining: AtomicBool::new(false),
            listed: AtomicBool::new(true),
            warmup_left_ms: Mutex::new(0),
            cold_until: Mutex::new(None),
            reading: Mutex::default(),
            active: AtomicUsize::new(0),
            ended: Mutex::default(),
            sheds: AtomicBool::new(false),
            reads: AtomicBool::new(false),
            arrivals: arrivals.clone(),
        });
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut line = Line::from_stream(stream);
                    while server.serve(&mut line).is_ok() {}
                });
            }
        });
        server
    }

    fn serve(&self, line: &mut Line) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(60);
        let (first, headers) = line.head(until)?;
        let mut body = vec![];
        line.body(&headers, true, until, &mut body, |_| {})?;
        let mut words = first.split(' ');
        let (method, target) = (
            words.next().unwrap_or_default().to_owned(),
            words.next().unwrap_or_default().to_owned(),
        );
        let id = self.id.lock().expect("lock").clone();
        let field = |name: &str| {
            headers
                .iter()
                .find(|(known, _)| known.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.clone())
        };
        let attempt = field("attempt-id").unwrap_or_default();
        if target == "/healthz" || target == "/-/report" {
            let text = if target == "/healthz" {
                String::new()
            } else {
                r#"{"phase":"combined","models":[{"name":"m","revision":1,"adapters":[]}],"saturated":false,"call_seq":0,"queued":0,"active":0,"cache_used":0,"cache_capacity":654078,"handled":0}"#.into()
            };
            return line.send(
                format!(
                    "HTTP/1.1 200 OK\r\nInstance: {id}\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                )
                .as_bytes(),
            );
        }
        let refused = if field("target-instance").is_some_and(|wanted| wanted != id) {
            421
        } else if attempt.is_empty() {
            400
        } else if self.sheds.load(Ordering::SeqCst) {
            503
        } else {
            0
        };
        let arrival = Arrival {
            at: Instant::now(),
            server: id.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            id: attempt.clone(),
            method,
            target,
            headers: headers.clone(),
            body,
            refused,
        };
        self.arrivals.lock().expect("lock").push(arrival);
        if refused != 0 {
            return line.send(format!("HTTP/1.1 {refused} No\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes());
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        if let Some(prefix) = field("prompt-prefix").filter(|_| self.reads.load(Ordering::SeqCst)) {
            self.read_prompt(&prefix);
        }
        let outcome = self.run(
            line,
            &attempt,
            &id,
            field("last-event-id")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0),
        );
        self.active.fetch_sub(1, Ordering::SeqCst);
        outcome
    }

    fn run(&self, line: &mut Line, attempt: &str, id: &str, after: u64) -> Result<(), String> {
        let manner = self.manner.lock().expect("lock").clone();
        let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
        let seal = format!("seal.{id}.{attempt}");
        if manner.loses_answer {
            pause(manner.work_ms);
            line.reset();
            return Err("lost".into());
        }
        if !self.is_stream {
            pause(manner.work_ms);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {seal}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
                manner.body.len()
            );
            line.send(head.as_bytes())?;
            return line.send(&manner.body);
        }
        pause(manner.first_ms);
        line.send(
            format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {seal}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .as_bytes(),
        )?;
        for (count, n) in (after + 1..=manner.events).enumerate() {
            if manner.breaks_after == Some(count as u64) {
                line.reset();
                return Err("broken".into());
            }
            if count > 0 {
                pause(manner.gap_ms);
                if let Some((_, ms)) = manner.pause_at.filter(|(event, _)| event + 1 == n) {
                    pause(ms);
                }
            }
            let event = format!("id: {n}\ndata: {attempt} {n}\n\n");
            line.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        line.send(b"0\r\n\r\n")?;
        self.ended
            .lock()
            .expect("lock")
            .push((attempt.to_owned(), Instant::now()));
        Ok(())
    }

    /// It becomes cold for this long.
    pub fn cool(&self, ms: u64) {
        *self.cold_until.lock().expect("lock") = Some(Instant::now() + Duration::from_millis(ms));
    }

    /// Reads a prompt: 112 tokens in a ms, but what it keeps.
    fn read_prompt(&self, prefix: &str) {
        let mut kept = self.reading.lock().expect("lock");
        let mut unread = 0;
        for part in prefix.split(',') {
            if let Some((id, tokens)) = part.split_once(':')
                && kept.insert(id.to_owned())
            {
                unread += tokens.trim().parse::<u64>().unwrap_or(0);
            }
        }
        std::thread::sleep(Duration::from_micros(unread * 1000 / 112));
    }

    fn entry(&self) -> String {
        if let Some(until) = *self.cold_until.lock().expect("lock") {
            *self.warmup_left_ms.lock().expect("lock") =
                until.saturating_duration_since(Instant::now()).as_millis() as u64;
        }
        format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","revision":"v1","capacity":{},"lifecycle":"{}","warmup_left_ms":{},"phase":"combined","models":[{{"name":"m","revision":1,"adapters":[]}}],"instance_id":"{}"}}"#,
            self.service,
            self.address,
            self.zone,
            self.capacity,
            if self.draining.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            },
            self.warmup_left_ms.lock().expect("lock"),
            self.id.lock().expect("lock"),
        )
    }
}

/// The platform's list of servers.
pub struct Platform {
    pub address: SocketAddr,
    pub servers: Arc<Mutex<Vec<Arc<Server>>>>,
    pub calls: Arc<AtomicUsize>,
    /// What the list shows, where it lags.
    shown: Arc<Mutex<Option<String>>>,
}

fn page(servers: &[Arc<Server>]) -> String {
    let listed: Vec<String> = servers
        .iter()
        .filter(|s| s.listed.load(Ordering::SeqCst))
        .map(|s| s.entry())
        .collect();
    format!(
        r#"{{"instances":[{}],"next_token":null}}"#,
        listed.join(",")
    )
}

impl Platform {
    /// One whose list shows what was so many ms ago.
    pub fn start_lagging(lag_ms: u64) -> Platform {
        let platform = Platform::start();
        let (servers, shown) = (platform.servers.clone(), platform.shown.clone());
        std::thread::spawn(move || {
            let mut states: std::collections::VecDeque<(Instant, String)> = Default::default();
            loop {
                states.push_back((Instant::now(), page(&servers.lock().expect("lock"))));
                while states
                    .get(1)
                    .is_some_and(|(at, _)| at.elapsed() >= Duration::from_millis(lag_ms))
                {
                    states.pop_front();
                }
                *shown.lock().expect("lock") = states.front().map(|(_, text)| text.clone());
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        platform
    }

    pub fn add(&self, server: Arc<Server>) {
        self.servers.lock().expect("lock").push(server);
    }

    pub fn servers(&self) -> Vec<Arc<Server>> {
        self.servers.lock().expect("lock").clone()
    }

    pub fn start() -> Platform {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let platform = Platform {
            address: listener.local_addr().expect("bound"),
            servers: Arc::default(),
            calls: Arc::default(),
            shown: Arc::default(),
        };
        let (servers, calls, shown) = (
            platform.servers.clone(),
            platform.calls.clone(),
            platform.shown.clone(),
        );
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (servers, calls, shown) = (servers.clone(), calls.clone(), shown.clone());
                std::thread::spawn(move || {
                    let mut line = Line::from_stream(stream);
                    loop {
                        let until = Instant::now() + Duration::from_secs(60);
                        let Ok((_, headers)) = line.head(until) else {
                            return;
                        };
                        let mut body = vec![];
                        if line.body(&headers, true, until, &mut body, |_| {}).is_err() {
                            return;
                        }
                        calls.fetch_add(1, Ordering::SeqCst);
                        let now_shown = shown.lock().expect("lock").clone();
                        let text =
                            now_shown.unwrap_or_else(|| page(&servers.lock().expect("lock")));
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                            text.len()
                        );
                        if line.send(head.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        platform
    }
}

/// A record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<std::io::BufWriter<std::fs::File>>,
    pub broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Record {
        let file = std::fs::File::create(path).expect("record.txt");
        Record {
            start: Instant::now(),
            file: Mutex::new(std::io::BufWriter::new(file)),
            broken: Mutex::default(),
        }
    }
    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }
    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let since = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(
            self.file.lock().expect("lock"),
            "{since:9.3} {}",
            text.as_ref()
        );
    }
    pub fn fault(&self, text: impl AsRef<str>) {
        self.note(format!("BROKEN {}", text.as_ref()));
        println!("BROKEN {}", text.as_ref());
        self.broken
            .lock()
            .expect("lock")
            .push(text.as_ref().to_owned());
    }
    pub fn flush(&self) {
        let _ = self.file.lock().expect("lock").flush();
    }
}

/// How often each id ran.
pub fn runs(arrivals: &[Arrival]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for arrival in arrivals.iter().filter(|a| a.refused == 0) {
        *runs.entry(arrival.id.clone()).or_insert(0) += 1;
    }
    runs
}
