use clap::Subcommand;
use std::io::Write;
use std::path::PathBuf;
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

impl AdminCommand {
    /// Does it; gives the exit code: 0 done, 1 refused or not known, 3 no answer.
    pub fn run(&self) -> u8 {
        let base = format!("http://{}", self.at);
        let body_of = |file: &PathBuf| {
            std::fs::read(file).map_err(|fault| format!("{}: {fault}", file.display()))
        };
        let (method, path, body) = match &self.task {
            AdminSubcommand::Put {
                file,
                id,
                builds_on,
            } => (
                "PUT",
                format!("/v1/plan?id={id}&builds_on={builds_on}"),
                Some(body_of(file)),
            ),
            AdminSubcommand::Change {
                file,
                id,
                builds_on,
            } => (
                "PATCH",
                format!("/v1/plan?id={id}&builds_on={builds_on}"),
                Some(body_of(file)),
            ),
            AdminSubcommand::Show { epoch: None } => ("GET", "/v1/plan".into(), None),
            AdminSubcommand::Show { epoch: Some(epoch) } => {
                ("GET", format!("/v1/plans/{epoch}"), None)
            }
            AdminSubcommand::Tenants => ("GET", "/v1/tenants".into(), None),
            AdminSubcommand::Latest => ("GET", "/v1/latest".into(), None),
            AdminSubcommand::Fate { id } => ("GET", format!("/v1/fates/{id}"), None),
            AdminSubcommand::Withdraw { zone, id } => (
                "POST",
                format!("/v1/zones/{zone}/withdraw?id={id}"),
                Some(Ok(vec![])),
            ),
            AdminSubcommand::Restore { zone, id } => (
                "POST",
                format!("/v1/zones/{zone}/restore?id={id}"),
                Some(Ok(vec![])),
            ),
            AdminSubcommand::Forget { members, id } => {
                let body = serde_json::json!({"members": members})
                    .to_string()
                    .into_bytes();
                (
                    "POST",
                    format!("/v1/members/forget?id={id}"),
                    Some(Ok(body)),
                )
            }
            AdminSubcommand::Believes => ("GET", "/v1/believes".into(), None),
        };
        let body = match body.transpose() {
            Ok(body) => body.unwrap_or_default(),
            Err(why) => {
                eprintln!("controller: {why}");
                return 2;
            }
        };
        let outcome = http_request(
            method,
            &format!("{base}{path}"),
            body,
            Milliseconds(1000),
            Milliseconds(15_000),
        );
        let (status, body) = match outcome
            .map_err(|fault| fault.to_string())
            .and_then(|response| {
                let status = response.status();
                read_all(response, 128 << 20)
                    .map(|body| (status, body))
                    .map_err(|fault| fault.to_string())
            }) {
            Ok(answer) => answer,
            Err(why) => {
                eprintln!("controller: {} gave no answer: {why}", self.at);
                return 3;
            }
        };
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(&body);
        if !body.ends_with(b"\n") {
            let _ = out.write_all(b"\n");
        }
        u8::from(status != 200)
    }
}
