use loadgen::prompt_fingerprint;
use placement::PrefixHash;
use router::{LIFE_HEADER, RunRecord, RunRequest, ServerReport};
use simulator::{Progress, Schedule, ScheduleRules, ServerFault};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use transport::{
    BodyChunk, BodySource, HttpServer, HttpServerBounds, HttpServerCloser, Request, Response,
};
use types::{Address, Clock, Milliseconds, MonotonicInstant, RunId, ServerName};

/// What a server remembers of a request that it took.
#[derive(Debug, Clone)]
pub struct RunLog {
    /// The prompt's print.
    pub print: u64,
    /// The service.
    pub service: String,
    /// When.
    pub at: MonotonicInstant,
    /// How many runs were in hand just after.
    pub in_hand: u32,
}

/// A model or app server, as far as routers can tell.
pub struct StandIn {
    /// Where it listens.
    pub address: Address,
    inside: Arc<Inside>,
    closer: HttpServerCloser,
}

struct Inside {
    incarnation: u64,
    started: MonotonicInstant,
    weights: String,
    schedule: Mutex<Schedule>,
    log: Mutex<Vec<RunLog>>,
    /// Each ask for a run or a page: the service, and the print of the prompt or the path.
    asked: Mutex<Vec<(String, u64)>>,
    pages: Mutex<Vec<MonotonicInstant>>,
    report: Mutex<(MonotonicInstant, ServerReport)>,
    is_crashed: AtomicBool,
}

impl StandIn {
    /// Starts one there, or at a free port; `age` is how long it says that it has been up.
    pub fn start(
        address: Address,
        rules: ScheduleRules,
        incarnation: u64,
        age: Milliseconds,
    ) -> std::io::Result<StandIn> {
        let bounds = HttpServerBounds {
            connections: 1024,
            ..HttpServerBounds::default()
        };
        let http_server = HttpServer::open(address.0, bounds)?;
        let report = ServerReport {
            incarnation,
            up_ms: age.0,
            running: 0,
            waiting: 0,
            slots: rules.slots as u32,
            weights: "w1".into(),
        };
        let inside = Arc::new(Inside {
            incarnation,
            started: Clock::now() - age,
            weights: "w1".into(),
            schedule: Mutex::new(Schedule::new(rules)),
            log: Mutex::default(),
            asked: Mutex::default(),
            pages: Mutex::default(),
            report: Mutex::new((Clock::now(), report)),
            is_crashed: AtomicBool::new(false),
        });
        let (address, closer, handler) =
            (http_server.address(), http_server.closer(), inside.clone());
        std::thread::Builder::new()
            .name("stand-in".into())
            .spawn(move || http_server.serve(move |request| handler.clone().respond(&request)))?;
        Ok(StandIn {
            address,
            inside,
            closer,
        })
    }
    /// Its name in the platform's list.
    pub fn name(&self) -> ServerName {
        ServerName(self.address.to_string())
    }
    /// Sets what is wrong with it.
    pub fn inject_fault(&self, fault: ServerFault) {
        self.inside
            .schedule
            .lock()
            .expect("no thread panics with it")
            .fault = fault;
    }
    /// Breaks off all streams and stops listening, as a crash would.
    pub fn crash(&self) {
        self.inside.is_crashed.store(true, Ordering::SeqCst);
        self.closer.close();
    }
    /// Whether it has this run.
    pub fn has_run(&self, run: &RunId) -> bool {
        self.inside.schedule().progress(run, Clock::now()).is_some()
    }
    /// Forgets all runs, as a restart in place would.
    pub fn forget_runs(&self) {
        self.inside.schedule().forget_runs();
    }
    /// What it was asked to take, whatever it made of it: the service and the print of each.
    pub fn asked(&self) -> Vec<(String, u64)> {
        self.inside
            .asked
            .lock()
            .expect("no thread panics with it")
            .clone()
    }
    /// What it took.
    pub fn log(&self) -> Vec<RunLog> {
        self.inside
            .log
            .lock()
            .expect("no thread panics with it")
            .clone()
    }
    /// When pages were fetched.
    pub fn pages(&self) -> Vec<MonotonicInstant> {
        self.inside
            .pages
            .lock()
            .expect("no thread panics with it")
            .clone()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Inside {
    fn schedule(&self) -> std::sync::MutexGuard<'_, Schedule> {
        self.schedule.lock().expect("no thread panics with it")
    }

    fn note_ask(&self, request: &Request) {
        let ask = match (request.method.as_str(), request.path_segments().as_slice()) {
            ("POST", ["runs"]) => serde_json::from_slice::<RunRequest>(&request.body)
                .ok()
                .map(|run| (run.service.0, prompt_fingerprint(&run.prompt))),
            ("GET", ["pages", ..]) => Some(("pages".to_owned(), prompt_fingerprint(&request.path))),
            _ => None,
        };
        self.asked
            .lock()
            .expect("no thread panics with it")
            .extend(ask);
    }

    fn respond(self: Arc<Self>, request: &Request) -> Response {
        self.note_ask(request);
        let fault = self.schedule().fault;
        if fault.is_dark {
            let patience = Clock::now() + Milliseconds::seconds(20);
            while !self.is_crashed.load(Ordering::SeqCst)
                && Clock::now() < patience
                && self.schedule().fault.is_dark
            {
                std::thread::sleep(Duration::from_millis(50));
            }
            return Response::stream("text/plain", Box::new(Nothing));
        }
        match (request.method.as_str(), request.path_segments().as_slice()) {
            ("POST", ["runs"]) => self.take(&request.body),
            ("GET", ["runs", run]) => {
                let from = request
                    .query_parameter("from")
                    .and_then(|word| word.parse().ok())
                    .unwrap_or(0);
                self.read(RunId::from(*run), from)
            }
            ("DELETE", ["runs", run]) => {
                let is_known = self.schedule().cancel(&RunId::from(*run), Clock::now());
                Response::json(if is_known { 200 } else { 404 }, &serde_json::json!({}))
            }
            ("POST", ["kv", _]) if fault.lacks_kv => Response::json(404, &serde_json::json!({})),
            ("POST", ["kv", way]) => self.kv(way, &request.body),
            ("DELETE", ["kv", prefix]) => {
                let prefix = prefix.parse().map(PrefixHash);
                prefix
                    .into_iter()
                    .for_each(|prefix| self.schedule().drop_prefix(prefix));
                Response::json(202, &serde_json::json!({}))
            }
            ("GET", ["load"]) => self.report(),
            ("GET", ["pages", ..])
                if request
                    .header(LIFE_HEADER)
                    .is_some_and(|incarnation| incarnation != self.incarnation.to_string()) =>
            {
                self.other_life()
            }
            ("GET", ["pages", rest @ ..]) => {
                self.pages
                    .lock()
                    .expect("no thread panics with it")
                    .push(Clock::now());
                std::thread::sleep(Duration::from_millis(3));
                Response::complete(200, "text/plain", format!("page {}\n", rest.join("/")))
            }
            _ => Response::json(404, &serde_json::json!({})),
        }
    }

    /// It was meant for another life of this server.
    fn other_life(&self) -> Response {
        Response::json(
            409,
            &serde_json::json!({"ran": false, "incarnation": self.incarnation}),
        )
    }

    fn take(self: Arc<Self>, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice::<RunRequest>(body) else {
            return Response::json(400, &serde_json::json!({"ran": false}));
        };
        if request
            .incarnation
            .is_some_and(|incarnation| incarnation != self.incarnation)
        {
            return self.other_life();
        }
        let now = Clock::now();
        let mut schedule = self.schedule();
        if !schedule.take(&request, now) {
            return Response::json(503, &serde_json::json!({"ran": false}));
        }
        let (running, waiting) = schedule.load(now);
        drop(schedule);
        let (print, service) = (
            prompt_fingerprint(&request.prompt),
            request.service.0.clone(),
        );
        let entry = RunLog {
            print,
            service,
            at: now,
            in_hand: running + waiting,
        };
        self.log
            .lock()
            .expect("no thread panics with it")
            .push(entry);
        self.read(request.run, 0)
    }

    fn read(self: Arc<Self>, run: RunId, from: u64) -> Response {
        if self.schedule().fault.does_refuse {
            return Response::json(503, &serde_json::json!({"ran": false}));
        }
        match self.schedule().progress(&run, Clock::now()) {
            None | Some(Progress::Broke(_)) => {
                return Response::json(410, &serde_json::json!({"ran": false}));
            }
            Some(Progress::All(pieces)) if from > pieces => {
                return Response::json(410, &serde_json::json!({"ran": false}));
            }
            Some(_) => {}
        }
        Response::stream(
            "application/x-ndjson",
            Box::new(RunSource {
                inside: self,
                run,
                next: from,
                is_over: false,
            }),
        )
    }

    fn kv(&self, way: &str, body: &[u8]) -> Response {
        let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(prefix) = value["prefix"].as_u64().map(PrefixHash) else {
            return Response::json(400, &serde_json::json!({}));
        };
        let mut schedule = self.schedule();
        match way {
            "export" if schedule.holds(prefix, Clock::now()) => {
                Response::json(202, &serde_json::json!({}))
            }
            "import" => {
                schedule.import(prefix, Clock::now());
                Response::json(202, &serde_json::json!({}))
            }
            _ => Response::json(409, &serde_json::json!({})),
        }
    }

    /// Its load as it was up to half a second ago.
    fn report(&self) -> Response {
        let now = Clock::now();
        let mut report = self.report.lock().expect("no thread panics with it");
        if now.since(report.0) >= Milliseconds(500) {
            let schedule = self.schedule();
            let (running, waiting) = schedule.load(now);
            let report_now = ServerReport {
                incarnation: self.incarnation,
                up_ms: now.since(self.started).0,
                running,
                waiting,
                slots: schedule.slots() as u32,
                weights: self.weights.clone(),
            };
            *report = (now, report_now);
        }
        Response::json(200, &report.1)
    }
}

struct Nothing;

impl BodySource for Nothing {
    fn next_chunk(&mut self, _: Duration) -> BodyChunk {
        BodyChunk::Abort
    }
}

struct RunSource {
    inside: Arc<Inside>,
    run: RunId,
    next: u64,
    is_over: bool,
}

impl BodySource for RunSource {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if self.is_over {
            return BodyChunk::End;
        }
        if self.inside.is_crashed.load(Ordering::SeqCst) {
            return BodyChunk::Abort;
        }
        let now = Clock::now();
        let schedule = self.inside.schedule();
        let Some(progress) = schedule.progress(&self.run, now) else {
            return BodyChunk::Abort;
        };
        let (Progress::Pieces(there, _) | Progress::All(there) | Progress::Broke(there)) = progress;
        if self.next < there {
            let mut lines = String::new();
            while self.next < there {
                let (run, n, text) = (
                    self.run.clone(),
                    self.next,
                    schedule.text(&self.run, self.next),
                );
                lines += &serde_json::to_string(&RunRecord::Chunk { run, n, text })
                    .expect("a piece is JSON");
                lines.push('\n');
                self.next += 1;
            }
            return BodyChunk::Data(lines.into_bytes().into());
        }
        drop(schedule);
        match progress {
            Progress::All(pieces) => {
                self.is_over = true;
                let end = RunRecord::End {
                    run: self.run.clone(),
                    end: true,
                    pieces,
                };
                let line = serde_json::to_string(&end).expect("an end is JSON") + "\n";
                BodyChunk::Data(line.into_bytes().into())
            }
            Progress::Broke(_) => BodyChunk::Abort,
            Progress::Pieces(_, next) => {
                std::thread::sleep(timeout.min(now.until(next).duration()));
                BodyChunk::Pending
            }
        }
    }
}

impl Drop for RunSource {
    fn drop(&mut self) {
        if !self.is_over {
            self.inside.schedule().abandon(&self.run, Clock::now());
        }
    }
}
