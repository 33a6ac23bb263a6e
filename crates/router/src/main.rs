//! The command line of the data plane: `router serve`, and tools that read a running router.

use clap::{Parser, Subcommand};
use config::{parse_addresses, read_settings};
use router::{Dialects, ReadSeeds, Settings, replay, run};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use transport::{HttpClientError, HttpResponse, ProcessSignals, http_get, http_post, read_all};
use types::{Address, Milliseconds, ResultCode};

/// The data plane of cobaltfall: takes clients' requests and carries their streams.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Line {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Run a router. Exit codes: 0 stopped as told, 1 stopped with requests in hand, 2 the settings
    /// can't be used.
    Serve {
        /// The settings file (TOML).
        #[arg(long)]
        settings: Option<PathBuf>,
        /// In place of the settings' listen.
        #[arg(long)]
        listen: Option<Address>,
        /// In place of the settings' inner.
        #[arg(long)]
        inner: Option<Address>,
        /// In place of the settings' zone.
        #[arg(long)]
        zone: Option<String>,
    },
    /// Read a router's decisions as JSON lines.
    Decisions(Tail),
    /// Read a router's events as JSON lines, as `replay` takes them.
    Events(Tail),
    /// Push events, JSON lines on standard input, into a running router.
    Push {
        /// The router's listening address.
        #[arg(long, default_value = "127.0.0.1:7100")]
        at: Address,
    },
    /// Show what a router believes.
    Believes {
        /// The router's listening address.
        #[arg(long, default_value = "127.0.0.1:7100")]
        at: Address,
    },
    /// Give recorded events on standard input to the same state machine; its decisions come out.
    Replay,
}

#[derive(Debug, clap::Args)]
struct Tail {
    /// The router's listening address.
    #[arg(long, default_value = "127.0.0.1:7100")]
    at: Address,
    /// Begin after this cursor.
    #[arg(long, default_value_t = 0)]
    after: u64,
    /// Go on as new ones come.
    #[arg(long)]
    follow: bool,
}

fn main() -> ExitCode {
    let line = Line::parse();
    tracing_subscriber::fmt()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
        )
        .with_target(false)
        .with_writer(std::io::stderr)
        .init();
    let outcome = match line.task {
        Task::Serve {
            settings,
            listen,
            inner,
            zone,
        } => {
            let signals = match ProcessSignals::register() {
                Ok(signals) => signals,
                Err(error) => {
                    eprintln!("router: {} {error}", ResultCode::BadSettings);
                    return ExitCode::from(2);
                }
            };
            let mut read = match read_settings::<Settings>(settings.as_deref()) {
                Ok(read) => read,
                Err(fault) => {
                    eprintln!("router: {} {fault}", ResultCode::BadSettings);
                    return ExitCode::from(2);
                }
            };
            listen
                .into_iter()
                .for_each(|address| read.listen = address.to_string());
            inner
                .into_iter()
                .for_each(|address| read.inner = address.to_string());
            zone.into_iter().for_each(|name| read.zone = name);
            let dialects = Dialects {
                seeds: settings.map(seeds_of),
                ..Dialects::default()
            };
            return ExitCode::from(run(&read, dialects, signals));
        }
        Task::Decisions(tail) => copy_out(&tail, "decisions"),
        Task::Events(tail) => copy_out(&tail, "events"),
        Task::Push { at } => push(at),
        Task::Believes { at } => show(http_get(
            &format!("http://{at}/v1/believes"),
            Milliseconds(1000),
            Milliseconds(6000),
        )),
        Task::Replay => replay(std::io::stdin().lock(), std::io::stdout().lock()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("router: {why}");
            ExitCode::from(1)
        }
    }
}

/// Reads the seeds of a settings file as it is then.
fn seeds_of(settings_file: PathBuf) -> ReadSeeds {
    Box::new(move || {
        let settings = read_settings::<Settings>(Some(&settings_file)).ok()?;
        Some(parse_addresses(&settings.seeds))
    })
}

fn copy_out(tail: &Tail, what: &str) -> Result<(), String> {
    let Tail { at, after, follow } = tail;
    let url = format!("http://{at}/v1/{what}?after={after}&follow={follow}");
    let mut response = http_get(&url, Milliseconds(1000), Milliseconds::seconds(3600))
        .map_err(|fault| fault.to_string())?;
    let mut out = std::io::stdout().lock();
    let mut buffer = [0u8; 16 << 10];
    loop {
        let count = response
            .read(&mut buffer)
            .map_err(|fault| fault.to_string())?;
        if count == 0 {
            return Ok(());
        }
        out.write_all(&buffer[..count])
            .and_then(|()| out.flush())
            .map_err(|fault| fault.to_string())?;
    }
}

fn push(at: Address) -> Result<(), String> {
    let mut body = vec![];
    std::io::stdin()
        .read_to_end(&mut body)
        .map_err(|fault| fault.to_string())?;
    show(http_post(
        &format!("http://{at}/v1/events"),
        body,
        Milliseconds(1000),
        Milliseconds(6000),
    ))
}

fn show(outcome: Result<HttpResponse, HttpClientError>) -> Result<(), String> {
    let response = outcome.map_err(|fault| fault.to_string())?;
    let is_good = response.status() == 200;
    let body = read_all(response, 16 << 20).map_err(|fault| fault.to_string())?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if is_good {
        println!("{text}");
        Ok(())
    } else {
        Err(text)
    }
}
