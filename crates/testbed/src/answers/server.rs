//! A stand-in server that treats each request as the seed draws.

use super::config_state::{CallKind, ConfigStateMachine, body_of};
use super::dialect::{AFTER, ID, SERVER};
use super::message::{Message, read_body, read_head};
use super::play::Play;
use placement::mix;
use response::{ResponseParts, refusal};
use rustix::net::sockopt::set_socket_linger;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

mod response;

/// A server.
#[derive(Debug, Clone)]
pub(super) struct Server {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
}

/// What a connection's thread knows.
struct Serving {
    name: String,
    seed: u64,
    config_state: Arc<Mutex<ConfigStateMachine>>,
}

impl Server {
    /// Starts one at a free port.
    pub(super) fn start(
        name: String,
        seed: u64,
        config_state: &Arc<Mutex<ConfigStateMachine>>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.clone(),
            address: listener.local_addr()?,
            is_stopped: Arc::default(),
        };
        let (serving, is_stopped) = (
            Arc::new(Serving {
                name,
                seed,
                config_state: config_state.clone(),
            }),
            server.is_stopped.clone(),
        );
        std::thread::Builder::new()
            .name("server".into())
            .spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if is_stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let serving = serving.clone();
                    // A connection that can't be served is closed.
                    let _ = std::thread::Builder::new()
                        .name("connection".into())
                        .spawn(move || serving.serve(stream));
                }
            })?;
        Ok(server)
    }
    /// Stops listening.
    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
    }
}

/// How a request on a connection ended.
enum After {
    /// The connection stays.
    Stay,
    /// It stays, and this stands in the place of the next answer.
    StayWith(String),
    /// It closes.
    Close,
    /// It closes by a reset.
    Reset,
}

impl Serving {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Ends the thread of a connection that nobody uses.
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut displaced = None;
        while let Ok(Some(request)) = read_head(&mut reader) {
            match self.answer(&mut stream, &mut reader, request, displaced.take()) {
                Ok(After::Stay) => {}
                Ok(After::StayWith(next)) => displaced = Some(next),
                Ok(After::Close) | Err(_) => return,
                Ok(After::Reset) => {
                    let _ = set_socket_linger(&stream, Some(Duration::ZERO));
                    return;
                }
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
        mut request: Message,
        displaced: Option<String>,
    ) -> io::Result<After> {
        let id = request.header(ID).unwrap_or_default().to_owned();
        let arrivals = self.config_state().arrived(&id, &self.name);
        let play = play_of(self.seed, &self.name, &id, arrivals);
        if play == Play::ResetUnread {
            self.config_state().treated(&id, &self.name, play, false);
            return Ok(After::Reset);
        }
        if play == Play::RefusedEarly {
            self.config_state().treated(&id, &self.name, play, false);
            stream.write_all(refusal(503, Some(&id)).as_bytes())?;
            // Closed with its body unread, it would be reset and the answer lost.
            read_body(reader, &mut request);
            return Ok(After::Close);
        }
        read_body(reader, &mut request);
        if !request.is_whole {
            return Ok(After::Close);
        }
        self.check_request(&id, &request);
        let Some(kind) = self.config_state().call(&id).map(|record| record.kind) else {
            return Ok(After::Close);
        };
        let mark = self
            .config_state()
            .treated(&id, &self.name, play, displaced.is_some())
            .unwrap_or_default();
        let after = request
            .header(AFTER)
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let body = body_of(kind, &id, after);
        if let Some(displaced) = displaced {
            stream.write_all(displaced.as_bytes())?;
        }
        perform(
            stream,
            reader,
            play,
            &ResponseParts {
                id: &id,
                body: &body,
                mark: &mark,
                is_stream: kind.is_stream(),
            },
        )
    }

    /// Each request is as its client sent it, and meant for this server.
    fn check_request(&self, id: &str, request: &Message) {
        let is_ours = request.header(SERVER) == Some(&self.name);
        let is_whole = request.body == format!("body of {id}").as_bytes();
        let is_at_path = CallKind::ALL
            .iter()
            .any(|kind| request.target() == format!("{}{id}?q=a%20b", kind.prefix()));
        if !is_ours || !is_whole || !is_at_path {
            self.config_state()
                .violate(format!("{id} came to {} changed: {request:?}", self.name));
        }
    }

    fn config_state(&self) -> std::sync::MutexGuard<'_, ConfigStateMachine> {
        self.config_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Of so many calls one is refused by every server.
const REFUSED_BY_ALL: u64 = 32;

/// What this server does with a call that came so often to any before.
pub(super) fn play_of(seed: u64, server: &str, id: &str, arrivals: u64) -> Play {
    let hash = |number: u64, text: &str| {
        text.bytes()
            .fold(number, |number, byte| mix(number ^ u64::from(byte)))
    };
    let of_call = hash(seed, id);
    let drawn = hash(of_call, server).wrapping_add(arrivals);
    if of_call.is_multiple_of(REFUSED_BY_ALL) {
        Play::draw_refusal(drawn)
    } else {
        Play::draw(drawn)
    }
}

fn perform(
    stream: &mut TcpStream,
    reader: &mut BufReader<TcpStream>,
    play: Play,
    response: &ResponseParts<'_>,
) -> io::Result<After> {
    match play {
        Play::HalfClose => {
            stream.shutdown(Shutdown::Write)?;
            await_end(reader)
        }
        Play::Silence => await_end(reader),
        _ => {
            stream.write_all(response.text(play).as_bytes())?;
            Ok(after(play, response))
        }
    }
}

/// How the connection goes on after this response.
fn after(play: Play, response: &ResponseParts<'_>) -> After {
    match play {
        Play::LateRefusal => After::StayWith(refusal(503, None)),
        Play::LateElsewhere => After::StayWith(refusal(421, None)),
        Play::LateOwn => After::StayWith(response.complete()),
        Play::ResetRun | Play::ResetUnread => After::Reset,
        Play::CloseSaid
        | Play::CloseUnsaid
        | Play::CloseRun
        | Play::HalfClose
        | Play::Silence
        | Play::TornHead
        | Play::TornBody
        | Play::TornChunks
        | Play::TornStream
        | Play::BadChunk
        | Play::TwoLengths
        | Play::EndByClose
        | Play::OldHttp
        | Play::Garbage
        | Play::SwitchProtocol => After::Close,
        Play::AnswerInBody if response.is_stream => After::Close,
        _ => After::Stay,
    }
}

fn await_end(reader: &mut BufReader<TcpStream>) -> io::Result<After> {
    let _ = reader.read(&mut [0; 1]);
    Ok(After::Close)
}
