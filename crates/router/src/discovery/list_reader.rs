//! Reads the platform's list of servers in a dialect, page by page, on a thread of its own.

use crate::dialect::CallDialect;
use crate::discovery::endpoint_list::{EndpointListReading, ReadRetryPolicy};
use bytes::Bytes;
use placement::ServerEntry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::{ConnectionPool, ConnectionPoolBounds, SendOptions};
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// A page comes within this.
const PATIENCE: Milliseconds = Milliseconds(700);
const PAGE_MOST: usize = 8 << 20;
const PAGES_MOST: usize = 100;
/// What the platform answers to calls beyond its rate.
const TOO_MANY: u16 = 429;
/// A page that was refused for that is asked for again after this,
const PAGE_PAUSE: Duration = Duration::from_millis(200);
/// until the reading has taken so long.
const PERSISTS_FOR: Milliseconds = Milliseconds(3000);

/// Starts the thread. It reads the list whenever it's asked to, and tells what came of it.
pub(crate) fn start(
    list: Address,
    dialect: Arc<dyn CallDialect>,
    tell: impl Fn(EndpointListReading) + Send + 'static,
) -> std::io::Result<flume::Sender<ReadRetryPolicy>> {
    let lines = ConnectionPool::new(ConnectionPoolBounds {
        max_per_address: 2,
        max_idle_per_address: 1,
        idle_timeout: Milliseconds::seconds(20),
    });
    let (sender, asks) = flume::bounded(1);
    let read = move || {
        let mut was_well = true;
        let mut unusable_count = 0;
        while let Ok(effort) = asks.recv() {
            let requested_at = Clock::now();
            let give_up_at = match effort {
                ReadRetryPolicy::Once => requested_at,
                ReadRetryPolicy::Persistent => requested_at + PERSISTS_FOR,
            };
            let reader = PageReader {
                lines: &lines,
                list,
                dialect: dialect.as_ref(),
                give_up_at,
            };
            let outcome = reader.read_all().map(|(calls, entries)| {
                let count = entries.len();
                let servers = usable_entries(entries);
                let unusable = count - servers.len();
                if std::mem::replace(&mut unusable_count, unusable) != unusable && unusable > 0 {
                    tracing::warn!(
                        unusable,
                        "servers: the list has servers without a name or an address"
                    );
                }
                (calls, servers)
            });
            if let (Err(why), true) = (&outcome, was_well) {
                tracing::warn!("servers: the platform's list can't be read: {why}.");
            }
            was_well = outcome.is_ok();
            let (calls, servers) =
                outcome.map_or((1, None), |(calls, servers)| (calls, Some(servers)));
            tell(EndpointListReading {
                requested_at,
                calls,
                servers,
            });
        }
    };
    std::thread::Builder::new()
        .name("servers".into())
        .spawn(read)?;
    Ok(sender)
}

/// Reads the list once, page by page.
struct PageReader<'a> {
    lines: &'a ConnectionPool,
    list: Address,
    dialect: &'a dyn CallDialect,
    /// Until then a page that was refused for too many calls is asked for again.
    give_up_at: MonotonicInstant,
}

impl PageReader<'_> {
    /// The pages that there are, and all entries.
    fn read_all(&self) -> Result<(usize, Vec<ServerEntry>), String> {
        let (mut servers, mut page) = (vec![], None);
        for count in 1..=PAGES_MOST {
            let (entries, next) = self.read_page(page.as_deref())?;
            servers.extend(entries);
            if next.is_none() {
                return Ok((count, servers));
            }
            page = next;
        }
        Err(format!("it has more than {PAGES_MOST} pages"))
    }

    fn read_page(&self, page: Option<&str>) -> Result<(Vec<ServerEntry>, Option<String>), String> {
        loop {
            let (status, body) = self.ask(page)?;
            match status {
                200 => return self.dialect.read_list(&body),
                TOO_MANY if Clock::now() < self.give_up_at => std::thread::sleep(PAGE_PAUSE),
                _ => return Err(format!("it answered {status}")),
            }
        }
    }

    fn ask(&self, page: Option<&str>) -> Result<(u16, Bytes), String> {
        let deadline = Clock::now() + PATIENCE;
        let waits = SendOptions {
            connect_timeout: Milliseconds(300),
            head_deadline: deadline,
            may_send: &|| true,
            client: None,
        };
        let sent = self
            .lines
            .send_request(self.list.0, self.dialect.list_request(page), &waits);
        let mut line = sent.map_err(|fault| fault.to_string())?;
        let status = line.head().status.as_u16();
        let body = line
            .read_all(deadline, PAGE_MOST, None)
            .map_err(|fault| fault.to_string())?;
        line.release();
        Ok((status, body))
    }
}

/// The entries to which requests can be sent.
fn usable_entries(entries: Vec<ServerEntry>) -> Vec<ServerEntry> {
    entries.into_iter().filter(is_usable).collect()
}

/// Whether a request can be sent to a server and name it: one that can't be named would be run by whoever has the address.
fn is_usable(entry: &ServerEntry) -> bool {
    let name = entry.server.as_str();
    let has_name = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
    let address = entry.address.as_deref().unwrap_or(name);
    let has_address = address
        .parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0);
    has_name && has_address
}

#[cfg(test)]
mod tests;
