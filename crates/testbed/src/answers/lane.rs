//! One lane: a forwarder with servers of its own, and a client that sends one call after the other and
//! checks whose each answer is.

use super::config_state::{CallKind, CallRecord, ConfigStateMachine, EVENTS, body_of};
use super::dialect::{Dialect, ID, MARK, WAIT};
use super::message::{Message, read_body, read_head};
use super::play::Play;
use super::server::{Server, play_of};
use super::{AnswersMutant, AnswersRules, Fate};
use config::parse_plan;
use placement::mix;
use router::{
    Access, DetachedForwarder, Placement, PlacementRequest, PlacementResponse, Rejection, run_id,
};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use transport::{ConnectionPoolBounds, HttpServer, HttpServerBounds};
use types::{Address, ConfigEpoch, Milliseconds, ResultCode};

/// Servers of a lane.
const SERVERS: usize = 3;
/// Servers that a call may be sent to, at most.
const TRIES: u64 = 3;
/// A client whose server may be silent waits this long, others as long as it takes.
const SHORT_WAIT: Milliseconds = Milliseconds(60);
const LONG_WAIT: Milliseconds = Milliseconds(20_000);
/// One in so many placements is outdated before the call leaves.
const OUTDATED: u64 = 8;
/// Statuses that promise that a call never ran and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a lane saw.
pub(super) struct LaneReport {
    /// How the calls ended.
    pub fates: BTreeMap<Fate, u64>,
    /// How often the servers did what.
    pub plays: BTreeMap<Play, u64>,
    /// What must never be, and was.
    pub violations: Vec<String>,
}

struct Lane {
    number: u64,
    rules: AnswersRules,
    config_state: Arc<Mutex<ConfigStateMachine>>,
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

fn server_name(place: usize) -> String {
    format!("s{place}")
}

fn lock(config_state: &Mutex<ConfigStateMachine>) -> MutexGuard<'_, ConfigStateMachine> {
    config_state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays this many calls of a lane.
pub(super) fn play_lane(
    rules: AnswersRules,
    number: u64,
    calls: u64,
) -> Result<LaneReport, String> {
    let tell = |fault: std::io::Error| fault.to_string();
    let config_state: Arc<Mutex<ConfigStateMachine>> = Arc::default();
    let start = |place: usize| Server::start(server_name(place), rules.seed, &config_state);
    let servers: Vec<Server> = (0..SERVERS)
        .map(start)
        .collect::<Result<_, _>>()
        .map_err(tell)?;
    let forwarder = forwarder(rules, &servers, &config_state)?;
    let bounds = HttpServerBounds {
        keep_alive: true,
        ..HttpServerBounds::default()
    };
    let http_server =
        HttpServer::open("127.0.0.1:0".parse::<Address>()?.0, bounds).map_err(tell)?;
    let (address, closer) = (http_server.address().0, http_server.closer());
    let replying = forwarder.clone();
    std::thread::Builder::new()
        .name("gate".into())
        .spawn(move || http_server.serve(move |request| replying.respond(request)))
        .map_err(tell)?;
    let mut lane = Lane {
        number,
        rules,
        config_state: config_state.clone(),
        address,
        connection: None,
    };
    let mut fates = BTreeMap::new();
    for call in 0..calls {
        *fates.entry(lane.call(call)).or_default() += 1;
    }
    closer.close();
    servers.iter().for_each(Server::stop);
    let config_state = lock(&config_state);
    let told = |what: &String| format!("seed {} lane {number}: {what}", rules.seed);
    Ok(LaneReport {
        fates,
        plays: config_state.plays.clone(),
        violations: config_state.violations.iter().map(told).collect(),
    })
}

fn forwarder(
    rules: AnswersRules,
    servers: &[Server],
    config_state: &Arc<Mutex<ConfigStateMachine>>,
) -> Result<DetachedForwarder, String> {
    let route = |kind: &CallKind| {
        let word = match kind {
            CallKind::Idempotent => "idempotent",
            CallKind::Mutating => "mutating",
            CallKind::Resumable | CallKind::OnceStream => "stream",
        };
        serde_json::json!({
            "name": kind.prefix().trim_matches('/'), "host": "h", "path_prefix": kind.prefix(), "kind": word, "max_tries": TRIES,
            "deadline_ms": LONG_WAIT.0, "split": [{"service": "s", "weight": 1}],
        })
    };
    let routes: Vec<serde_json::Value> = CallKind::ALL.iter().map(route).collect();
    let plan = serde_json::json!({"services": {"s": {"kind": "stream"}}, "routes": routes});
    let plan = parse_plan(plan.to_string().as_bytes()).map_err(|faults| format!("{faults:?}"))?;
    let plan = Arc::new(plan);
    let bounds = ConnectionPoolBounds {
        max_per_address: 8,
        max_idle_per_address: 4,
        idle_timeout: Milliseconds::seconds(20),
    };
    let dialect = Arc::new(Dialect {
        believes_unnamed: rules.mutant == Some(AnswersMutant::BelieveUnnamed),
    });
    let (servers, config_state) = (servers.to_vec(), config_state.clone());
    let (mut asked, mut epoch) = (rules.seed, ConfigEpoch(1));
    let placer = move |ask: &PlacementRequest| {
        asked = mix(asked);
        place(rules, &servers, &config_state, ask, asked, &mut epoch)
    };
    DetachedForwarder::start(dialect, &plan, bounds, Box::new(placer))
        .map_err(|fault| fault.to_string())
}

/// Chooses a server; now and then a newer epoch comes into force before the call leaves.
fn place(
    rules: AnswersRules,
    servers: &[Server],
    config_state: &Mutex<ConfigStateMachine>,
    ask: &PlacementRequest,
    drawn: u64,
    epoch: &mut ConfigEpoch,
) -> PlacementResponse {
    let mut config_state = lock(config_state);
    config_state.outdated = None;
    let left: Vec<&Server> = servers
        .iter()
        .filter(|server| !ask.tried.iter().any(|tried| tried.as_str() == server.name))
        .collect();
    let Some(server) = left.get((drawn % left.len().max(1) as u64) as usize) else {
        let rejection = Rejection {
            code: ResultCode::NoServer,
            why: "all were tried".into(),
            retry_after: Milliseconds(50),
        };
        return PlacementResponse {
            outcome: Err(rejection),
            in_force: *epoch,
        };
    };
    let kind = config_state
        .call(ask.request.as_str())
        .map(|record| record.kind);
    let repeats_anything = rules.mutant == Some(AnswersMutant::RepeatAfterReset);
    let placed_under = if rules.mutant == Some(AnswersMutant::ForgetEpoch) {
        ConfigEpoch(u64::MAX)
    } else {
        *epoch
    };
    let placing = Placement {
        server: server.name.as_str().into(),
        address: server.address.to_string(),
        expected: Milliseconds(20_000),
        run: run_id([7; 16]),
        token: None,
        may_repeat: repeats_anything || kind.is_some_and(CallKind::may_repeat),
        first_token: Milliseconds(2000),
        epoch: placed_under,
        incarnation: None,
        access: Access::Unrestricted,
    };
    if mix(drawn).is_multiple_of(OUTDATED) {
        *epoch = ConfigEpoch(epoch.0 + 1);
        config_state.outdated = Some((ask.request.as_str().to_owned(), server.name.clone()));
    }
    PlacementResponse {
        outcome: Ok(placing),
        in_force: *epoch,
    }
}

impl Lane {
    /// Sends one call and judges what comes.
    fn call(&mut self, number: u64) -> Fate {
        let id = format!("{:x}-{}-{number}", self.rules.seed, self.number);
        let kind = CallKind::ALL
            [(mix(mix(self.rules.seed ^ number)) % CallKind::ALL.len() as u64) as usize];
        lock(&self.config_state).sent(&id, kind);
        let play = |place, arrivals| play_of(self.rules.seed, &server_name(place), &id, arrivals);
        let may_be_silent = (0..SERVERS)
            .any(|place| (0..TRIES).any(|arrivals| play(place, arrivals) == Play::Silence));
        let wait = if may_be_silent { SHORT_WAIT } else { LONG_WAIT };
        let answer = self.exchange(&id, kind, wait);
        let record = lock(&self.config_state).call(&id).cloned();
        let Some(record) = record else {
            return Fate::Broken;
        };
        let outcome = judge(&id, &record, answer.as_ref(), may_be_silent);
        match outcome {
            Ok(Fate::Refused(status)) => lock(&self.config_state).refused(&id, status),
            Ok(_) => {}
            Err(why) => {
                let runs: Vec<Play> = record.runs.iter().map(|run| run.play).collect();
                lock(&self.config_state)
                    .violate(format!("{id} ({kind:?}, ran as {runs:?}): {why}"));
                return Fate::Broken;
            }
        }
        outcome.unwrap_or(Fate::Broken)
    }

    /// Sends a call and reads its answer, on the connection of the call before if that stayed.
    fn exchange(&mut self, id: &str, kind: CallKind, wait: Milliseconds) -> Option<Message> {
        let mut connection = self
            .connection
            .take()
            .filter(|held| self.is_clean(held))
            .or_else(|| self.connect())?;
        let body = format!("body of {id}");
        let request = format!(
            "POST {}{id}?q=a%20b HTTP/1.1\r\nhost: h\r\n{ID}: {id}\r\n{WAIT}: {}\r\ncontent-length: {}\r\n\r\n{body}",
            kind.prefix(),
            wait.0,
            body.len()
        );
        connection.get_mut().write_all(request.as_bytes()).ok()?;
        let mut answer = read_head(&mut connection).ok()??;
        read_body(&mut connection, &mut answer);
        let stays = answer.is_whole
            && answer
                .header("connection")
                .is_none_or(|word| word != "close");
        self.connection = stays.then_some(connection);
        Some(answer)
    }

    fn connect(&self) -> Option<BufReader<TcpStream>> {
        let stream = TcpStream::connect(self.address).ok()?;
        stream.set_nodelay(true).ok()?;
        // Ends a call that would hang.
        stream
            .set_read_timeout(Some(Duration::from_secs(60)))
            .ok()?;
        Some(BufReader::new(stream))
    }

    /// Whether nothing stands on a connection where no call waits; bytes there belong to nobody.
    fn is_clean(&self, connection: &BufReader<TcpStream>) -> bool {
        let stream = connection.get_ref();
        let _ = stream.set_nonblocking(true);
        let seen = stream.peek(&mut [0; 1]);
        let _ = stream.set_nonblocking(false);
        if !connection.buffer().is_empty() || matches!(seen, Ok(1..)) {
            lock(&self.config_state).violate("bytes came to a client that awaited none".into());
            return false;
        }
        seen.is_err()
    }
}

/// What an answer is, or why it must never be.
fn judge(
    id: &str,
    record: &CallRecord,
    answer: Option<&Message>,
    may_be_silent: bool,
) -> Result<Fate, String> {
    let is_reached = record
        .runs
        .first()
        .is_some_and(|run| run.play.answers_whole(record.kind.is_stream()) && !run.is_displaced);
    let Some(answer) = answer else {
        return Err("no answer came".into());
    };
    if record.arrivals > TRIES {
        return Err(format!("it was sent to {} servers", record.arrivals));
    }
    let status = answer.status();
    if answer.all(ID).any(|told| told != id) {
        return Err(format!("the answer is another's: {answer:?}"));
    }
    let fate = match status {
        200..300 => {
            judge_success(id, record, answer)?;
            if answer.is_whole {
                Fate::Served
            } else {
                Fate::Cut
            }
        }
        status if PROMISES.contains(&status) => Fate::Refused(status),
        500 if record.runs.iter().any(|run| run.play == Play::Failed) => Fate::Failed,
        502 => Fate::Unknown,
        status => return Err(format!("nobody answers {status}: {answer:?}")),
    };
    if is_reached && fate != Fate::Served && !may_be_silent {
        return Err(format!(
            "its server answered it whole, and the client has {fate:?}"
        ));
    }
    Ok(fate)
}

/// A success is the answer of a run of this call; it's whole, or can be seen to be cut.
fn judge_success(id: &str, record: &CallRecord, answer: &Message) -> Result<(), String> {
    let mark = answer.header(MARK).unwrap_or_default();
    let Some(run) = record.runs.iter().find(|run| run.mark == mark) else {
        return Err(format!("a success of no run: {answer:?}"));
    };
    let is_cut_stream = record.kind.is_stream()
        && (run.play.is_malformed_stream()
            || matches!(
                run.play,
                Play::TornBody
                    | Play::TornChunks
                    | Play::BadChunk
                    | Play::TornStream
                    | Play::EndByClose
                    | Play::OldHttp
            ));
    let is_both_framed = record.kind.is_stream() && run.play == Play::LengthAndChunks;
    if !run.play.answers_whole(record.kind.is_stream()) && !is_cut_stream && !is_both_framed {
        return Err(format!("a success of a run that gave none: {answer:?}"));
    }
    let expected = body_of(record.kind, id, 0);
    let body = String::from_utf8_lossy(&answer.body);
    if answer.is_whole && body != expected {
        return Err(format!(
            "a whole answer that is not the server's: {answer:?}"
        ));
    }
    if !expected.starts_with(body.as_ref()) {
        return Err(format!(
            "a part of an answer that is not the server's: {answer:?}"
        ));
    }
    let is_whole_stream =
        !record.kind.is_stream() || body.matches("data: ").count() as u64 == EVENTS;
    if answer.is_whole && !is_whole_stream {
        return Err(format!(
            "a stream that looks complete and is not: {answer:?}"
        ));
    }
    Ok(())
}
