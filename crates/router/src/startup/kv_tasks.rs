//! Threads that give KV orders to servers.

use crate::control::event::ControlEvent;
use crate::control::node::{KvTask, NodeInput};
use transport::{http_delete, http_post};
use types::{Milliseconds, ServerName};

/// Threads that give KV orders to servers.
pub(super) fn start_kv(
    control: &flume::Sender<ControlEvent>,
) -> std::io::Result<flume::Sender<KvTask>> {
    let (tasks, jobs) = flume::bounded::<KvTask>(128);
    for _ in 0..2 {
        let (jobs, control) = (jobs.clone(), control.clone());
        std::thread::Builder::new()
            .name("kv".into())
            .spawn(move || {
                while let Ok(task) = jobs.recv() {
                    if let Some(event) = do_kv(task) {
                        let _ = control.send(ControlEvent::Input(NodeInput::Event(event)));
                    }
                }
            })?;
    }
    Ok(tasks)
}

/// Orders the holder to export and the target to import. Both say whether they take the order, not
/// whether the copy was made.
fn do_kv(task: KvTask) -> Option<placement::Event> {
    const PATIENCE: Milliseconds = Milliseconds(500);
    match task {
        KvTask::Copy {
            prefix,
            holder,
            target,
        } => {
            let ask = |server: &ServerName, way: &str, other: &ServerName| {
                let body = serde_json::json!({"prefix": prefix, "peer": other})
                    .to_string()
                    .into_bytes();
                let outcome = http_post(
                    &format!("http://{server}/kv/{way}"),
                    body,
                    PATIENCE,
                    PATIENCE,
                );
                outcome.map(|response| response.status()).unwrap_or(0)
            };
            let export = ask(&holder, "export", &target);
            let import = if export == 202 {
                ask(&target, "import", &holder)
            } else {
                0
            };
            let is_unknown = |status: u16| status == 404 || status == 405;
            let (is_taken, knows_kv) = (export == 202 && import == 202, !is_unknown(import));
            Some(placement::Event::CopyFate {
                prefix,
                server: target,
                is_taken,
                knows_kv,
            })
        }
        KvTask::Drop { prefix, server } => {
            let _ = http_delete(
                &format!("http://{server}/kv/{}", prefix.0),
                PATIENCE,
                PATIENCE,
            );
            None
        }
    }
}
