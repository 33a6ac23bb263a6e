//! The operators' command line: each subcommand is one call to the HTTP interface of a controller.

use clap::Subcommand;
use std::io::Write;
use std::path::{Path, PathBuf};
use transport::{http_request, read_all};
use types::{Address, Milliseconds};

/// The operators' command line: each task is one call to a controller's HTTP interface.
#[derive(Debug, clap::Args)]
pub struct AdminCommand {
    /// A controller's listening address; any one will do.
    #[arg(long, global = true, default_value = "127.0.0.1:7000")]
    pub at: Address,
    /// What to do.
    #[command(subcommand)]
    pub task: AdminSubcommand,
}

/// What operators do.
#[derive(Debug, Subcommand)]
pub enum AdminSubcommand {
    /// Put a whole plan in force.
    Put {
        /// The plan, JSON.
        file: PathBuf,
        /// Your id for it; a repeat with the same id is not applied twice.
        #[arg(long)]
        id: String,
        /// The epoch that you looked at.
        #[arg(long)]
        builds_on: u64,
    },
    /// Change the plan in force by a JSON merge patch.
    Change {
        /// The change, JSON.
        file: PathBuf,
        /// Your id for it.
        #[arg(long)]
        id: String,
        /// The epoch that you looked at.
        #[arg(long)]
        builds_on: u64,
    },
    /// Show the plan in force, or with --epoch exactly what was sent as that epoch.
    Show {
        /// The epoch.
        #[arg(long)]
        epoch: Option<u64>,
    },
    /// Show the newest epoch, the withdrawn zones and the members.
    Latest,
    /// Show the tenants with a quota: limits, what was spent in the last window, what is out, refusals. In
    /// thousandths of requests or tokens.
    Tenants,
    /// Tell what became of a change.
    Fate {
        /// Your id for it.
        id: String,
    },
    /// Withdraw a zone: it gets no new work.
    Withdraw {
        /// The zone.
        zone: String,
        /// Your id for it.
        #[arg(long)]
        id: String,
    },
    /// Restore a zone.
    Restore {
        /// The zone.
        zone: String,
        /// Your id for it.
        #[arg(long)]
        id: String,
    },
    /// Forget members (inner addresses) that are lost for good, so that the rest takes changes again. Only
    /// name what will never come back as it was: one that is cut off and still acts is not known to have
    /// stopped. Refused while any of them is heard.
    Forget {
        /// Their inner addresses, as `latest` shows them.
        #[arg(required = true)]
        members: Vec<Address>,
        /// Your id for it.
        #[arg(long)]
        id: String,
    },
    /// Show what this controller believes: view, chain, leases.
    Believes,
}

/// The time-out of a connection to a controller.
const CONNECT_TIMEOUT: Milliseconds = Milliseconds(1000);
/// The time-out of a call.
const CALL_TIMEOUT: Milliseconds = Milliseconds(15_000);
/// The largest response that is read.
const MAX_RESPONSE_BYTES: usize = 128 << 20;

/// The exit code of a call whose file can't be read.
const EXIT_BAD_CALL: u8 = 2;
/// The exit code of a call that got no response.
const EXIT_NO_RESPONSE: u8 = 3;

/// One call to the HTTP interface.
struct HttpCall {
    method: &'static str,
    path: String,
    body: Option<Vec<u8>>,
}

impl HttpCall {
    fn get(path: impl Into<String>) -> Self {
        HttpCall {
            method: "GET",
            path: path.into(),
            body: None,
        }
    }

    fn with_body(method: &'static str, path: String, body: Vec<u8>) -> Self {
        HttpCall {
            method,
            path,
            body: Some(body),
        }
    }
}

/// A reason for which a subcommand got no response.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// A file of the command line can't be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The controller can't be reached, or the connection failed before the response was complete.
    #[error("{address} gave no answer: {reason}")]
    NoResponse { address: Address, reason: String },
}

impl CallError {
    fn exit_code(&self) -> u8 {
        match self {
            CallError::ReadFile { .. } => EXIT_BAD_CALL,
            CallError::NoResponse { .. } => EXIT_NO_RESPONSE,
        }
    }
}

impl AdminCommand {
    /// Makes the call, prints the response's body to standard output, and returns the exit code: 0 done, 1 rejected or
    /// not known, 2 a file can't be read, 3 no response.
    pub fn run(&self) -> u8 {
        match self.call() {
            Ok((status, body)) => {
                print_body(&body);
                u8::from(status != 200)
            }
            Err(error) => {
                eprintln!("controller: {error}");
                error.exit_code()
            }
        }
    }

    fn call(&self) -> Result<(u16, Vec<u8>), CallError> {
        let call = self.task.http_call()?;
        let url = format!("http://{}{}", self.at, call.path);
        let no_response = |reason: String| CallError::NoResponse {
            address: self.at,
            reason,
        };
        let response = http_request(
            call.method,
            &url,
            call.body.unwrap_or_default(),
            CONNECT_TIMEOUT,
            CALL_TIMEOUT,
        )
        .map_err(|error| no_response(error.to_string()))?;
        let status = response.status();
        let body = read_all(response, MAX_RESPONSE_BYTES)
            .map_err(|error| no_response(error.to_string()))?;
        Ok((status, body))
    }
}

impl AdminSubcommand {
    fn http_call(&self) -> Result<HttpCall, CallError> {
        let call = match self {
            AdminSubcommand::Put {
                file,
                id,
                builds_on,
            } => send_file("PUT", file, id, *builds_on)?,
            AdminSubcommand::Change {
                file,
                id,
                builds_on,
            } => send_file("PATCH", file, id, *builds_on)?,
            AdminSubcommand::Show { epoch: None } => HttpCall::get("/v1/plan"),
            AdminSubcommand::Show { epoch: Some(epoch) } => {
                HttpCall::get(format!("/v1/plans/{epoch}"))
            }
            AdminSubcommand::Tenants => HttpCall::get("/v1/tenants"),
            AdminSubcommand::Latest => HttpCall::get("/v1/latest"),
            AdminSubcommand::Fate { id } => HttpCall::get(format!("/v1/fates/{id}")),
            AdminSubcommand::Withdraw { zone, id } => {
                HttpCall::with_body("POST", format!("/v1/zones/{zone}/withdraw?id={id}"), vec![])
            }
            AdminSubcommand::Restore { zone, id } => {
                HttpCall::with_body("POST", format!("/v1/zones/{zone}/restore?id={id}"), vec![])
            }
            AdminSubcommand::Forget { members, id } => {
                let body = serde_json::json!({"members": members}).to_string();
                HttpCall::with_body(
                    "POST",
                    format!("/v1/members/forget?id={id}"),
                    body.into_bytes(),
                )
            }
            AdminSubcommand::Believes => HttpCall::get("/v1/believes"),
        };
        Ok(call)
    }
}

/// A call that sends a plan, or a change of one, from a file.
fn send_file(
    method: &'static str,
    file: &Path,
    id: &str,
    builds_on: u64,
) -> Result<HttpCall, CallError> {
    let body = std::fs::read(file).map_err(|source| CallError::ReadFile {
        path: file.to_owned(),
        source,
    })?;
    let path = format!("/v1/plan?id={id}&builds_on={builds_on}");
    Ok(HttpCall::with_body(method, path, body))
}

/// Prints a body, with a line's end if it has none. An error is ignored: whoever reads the output may have gone.
fn print_body(body: &[u8]) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(body);
    if !body.ends_with(b"\n") {
        let _ = out.write_all(b"\n");
    }
}
