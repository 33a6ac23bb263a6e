//! Reads the platform's list and the servers' reports, each on threads of its own.

use crate::interface::{ServerListReport, ServerReport};
use placement::Event;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use transport::{HttpClientError, http_get, read_all};
use types::{Milliseconds, ServerName};

const PATIENCE: Milliseconds = Milliseconds(400);

/// Starts the threads; what they read goes to `tell`.
pub(crate) fn start(
    platform: String,
    tell: impl Fn(Event) + Send + Sync + Clone + 'static,
) -> std::io::Result<()> {
    let names: Arc<Mutex<Vec<ServerName>>> = Arc::default();
    let (work, jobs) = flume::bounded::<ServerName>(64);
    for _ in 0..4 {
        let (jobs, tell) = (jobs.clone(), tell.clone());
        std::thread::Builder::new()
            .name("load".into())
            .spawn(move || {
                while let Ok(server) = jobs.recv() {
                    read_load(&server).into_iter().for_each(&tell);
                }
            })?;
    }
    let listed = names.clone();
    std::thread::Builder::new()
        .name("loads".into())
        .spawn(move || {
            loop {
                let now: Vec<ServerName> = listed.lock().expect("no thread panics with it").clone();
                // Until the first list is there, it's looked for often: a server without a report is taken
                // for a fresh one.
                let pause = if now.is_empty() { 20 } else { 800 };
                for server in now {
                    // A full queue means that servers are slow to answer; their reports are late anyway.
                    let _ = work.try_send(server);
                }
                std::thread::sleep(Duration::from_millis(pause));
            }
        })?;
    std::thread::Builder::new()
        .name("server-list".into())
        .spawn(move || {
            let url = format!("http://{platform}/servers");
            let mut was_well = true;
            loop {
                match read_server_list(&url) {
                    Ok(server_list) => {
                        *names.lock().expect("no thread panics with it") = server_list
                            .servers
                            .iter()
                            .map(|entry| entry.server.clone())
                            .collect();
                        tell(Event::ServerList {
                            servers: server_list.servers,
                        });
                        was_well = true;
                    }
                    Err(why) => {
                        if was_well {
                            tracing::warn!(
                                "server-list: the platform's list can't be read: {why}."
                            );
                        }
                        was_well = false;
                    }
                }
                std::thread::sleep(Duration::from_millis(400));
            }
        })?;
    Ok(())
}

fn read_server_list(url: &str) -> Result<ServerListReport, String> {
    let response = http_get(url, PATIENCE, PATIENCE).map_err(|fault| fault.to_string())?;
    let body = read_all(response, 4 << 20).map_err(|fault| fault.to_string())?;
    serde_json::from_slice(&body).map_err(|fault| fault.to_string())
}

fn read_load(server: &ServerName) -> Option<Event> {
    let response = match http_get(&format!("http://{server}/load"), PATIENCE, PATIENCE) {
        Ok(response) => response,
        Err(HttpClientError::NotSent(_)) => {
            return Some(Event::Unreachable {
                server: server.clone(),
            });
        }
        Err(HttpClientError::OutcomeUnknown(_) | HttpClientError::Withheld) => return None,
    };
    let body = read_all(response, 64 << 10).ok()?;
    let report: ServerReport = serde_json::from_slice(&body).ok()?;
    Some(Event::Load {
        server: server.clone(),
        incarnation: report.incarnation,
        up: Milliseconds(report.up_ms),
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        weights: report.weights,
    })
}
