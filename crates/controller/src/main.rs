//! The command line of the control plane: `controller serve` and the operators' `controller admin`.

use clap::{Parser, Subcommand};
use config::read_settings;
use controller::{AdminCommand, Dialects, Settings, run};
use std::path::PathBuf;
use std::process::ExitCode;
use transport::ProcessSignals;
use types::{Address, ResultCode};

/// The control plane of cobaltfall: keeps what operators had accepted, and tells the routers.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Line {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Run a controller. Exit codes: 0 stopped as told, 2 the settings can't be used.
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
        /// In place of the settings' folder.
        #[arg(long)]
        folder: Option<String>,
    },
    /// An operator's task. Exit codes: 0 done, 1 refused, 2 bad call, 3 no answer.
    #[command(name = "admin", alias = "desk")]
    Admin(AdminCommand),
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
    match line.task {
        Task::Admin(admin) => ExitCode::from(admin.run()),
        Task::Serve {
            settings,
            listen,
            inner,
            zone,
            folder,
        } => {
            let signals = match ProcessSignals::register() {
                Ok(signals) => signals,
                Err(error) => {
                    eprintln!("controller: {} {error}", ResultCode::BadSettings);
                    return ExitCode::from(2);
                }
            };
            let mut read = match read_settings::<Settings>(settings.as_deref()) {
                Ok(read) => read,
                Err(fault) => {
                    eprintln!("controller: {} {fault}", ResultCode::BadSettings);
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
            folder.into_iter().for_each(|path| read.folder = path);
            ExitCode::from(run(&read, Dialects::default(), signals))
        }
    }
}
