//! Reads the platform's list of servers in a dialect, page by page, on a thread of its own.

use crate::prelude::*;
use std::sync::Arc;

/// A page comes within this.
const PATIENCE: Span = Span(700);
const PAGE_MOST: usize = 8 << 20;
const PAGES_MOST: usize = 100;

/// Starts the thread. It reads the list whenever it's asked to, and tells what came of it.
pub(crate) fn start(
    list: Address,
    dialect: Arc<dyn CallDialect>,
    tell: impl Fn(ListReading) + Send + 'static,
) -> std::io::Result<flume::Sender<()>> {
    let lines = Lines::new(LinesBounds { per_address: 2, idle_per_address: 1, idle_span: Span::seconds(20) });
    let (sender, asks) = flume::bounded(1);
    let read = move || {
        let mut was_well = true;
        while asks.recv().is_ok() {
            let asked = Clock::now();
            let (mut calls, mut servers) = (0, vec![]);
            let outcome = read_list(&lines, list, dialect.as_ref(), &mut calls, &mut servers);
            if let (Err(why), true) = (&outcome, was_well) {
                tracing::warn!("servers: the platform's list can't be read: {why}.");
            }
            was_well = outcome.is_ok();
            tell(ListReading { asked, calls, servers: was_well.then_some(servers) });
        }
    };
    std::thread::Builder::new().name("servers".into()).spawn(read)?;
    Ok(sender)
}

fn read_list(
    lines: &Lines,
    list: Address,
    dialect: &dyn CallDialect,
    calls: &mut usize,
    servers: &mut Vec<ServerEntry>,
) -> Result<(), String> {
    let mut page = None;
    while *calls < PAGES_MOST {
        *calls += 1;
        let deadline = Clock::now() + PATIENCE;
        let waits = Waits { connect: Span(300), head_deadline: deadline, may_leave: &|| true, client: None };
        let mut line =
            lines.ask(list.0, dialect.list_request(page.as_deref()), &waits).map_err(|fault| fault.to_string())?;
        let status = line.head().status.as_u16();
        let body = line.read_all(deadline, PAGE_MOST, None).map_err(|fault| fault.to_string())?;
        line.keep();
        if status != 200 {
            return Err(format!("it answered {status}"));
        }
        let (entries, next) = dialect.read_list(&body)?;
        servers.extend(entries);
        match next {
            Some(next) => page = Some(next),
            None => return Ok(()),
        }
    }
    Err(format!("it has more than {PAGES_MOST} pages"))
}
