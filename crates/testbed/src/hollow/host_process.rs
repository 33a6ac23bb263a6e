//! The host processes of a hollow fleet, as the test bed sees them: started, commanded, read and ended.

use crate::hollow::costs::Role;
use crate::hollow::protocol::{HostCommand, HostReport};
use crate::hollow::rules::HollowRules;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use types::{Address, ZoneName};

/// A running host process. It is killed when this value is dropped.
pub(super) struct HostProcess {
    /// The role of its nodes.
    pub role: Role,
    /// The nodes that it began with.
    pub nodes: Vec<Address>,
    child: Child,
    commands: ChildStdin,
}

impl HostProcess {
    /// Starts a process with these nodes; its reports go to `reports`. Fails if the process or the thread that
    /// reads its reports can't be started.
    pub(super) fn start(
        rules: &HollowRules,
        role: Role,
        group: &[(Address, ZoneName)],
        seeds: &[Address],
        reports: &flume::Sender<HostReport>,
    ) -> Result<HostProcess, String> {
        let mut child = spawn_host()?;
        let (Some(commands), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err("a host has no pipes".into());
        };
        spawn_reader(output, reports.clone())?;
        let mut host = HostProcess {
            role,
            nodes: group.iter().map(|(address, _)| *address).collect(),
            child,
            commands,
        };
        host.send(&HostCommand::Begin {
            rules: rules.clone(),
            nodes: group.to_vec(),
            seeds: seeds.to_vec(),
        });
        Ok(host)
    }

    /// Sends a command. One that has ended gets it no more.
    pub(super) fn send(&mut self, command: &HostCommand) {
        let line = serde_json::to_string(command).expect("a command is JSON");
        let _ = writeln!(self.commands, "{line}");
        let _ = self.commands.flush();
    }

    /// Its process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_host() -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|fault| fault.to_string())?;
    Command::new(program)
        .arg("hollow-host")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|fault| fault.to_string())
}

/// Starts the thread that passes on a host's reports until its output ends. Lines that are no report are skipped.
fn spawn_reader(output: ChildStdout, reports: flume::Sender<HostReport>) -> Result<(), String> {
    let read = move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Ok(report) = serde_json::from_str(&line)
                && reports.send(report).is_err()
            {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("host".into())
        .spawn(read)
        .map(|_| ())
        .map_err(|fault| fault.to_string())
}
