//! Reads the platform's list of servers in a dialect, page by page, on a thread of its own.

use crate::prelude::*;
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Between two readings, if the fleet is small.
const PERIOD: Span = Span(1000);
/// After one that failed.
const RETRY: Span = Span(250);
/// A page comes within this.
const PATIENCE: Span = Span(700);
const PAGE_MOST: usize = 8 << 20;
const PAGES_MOST: usize = 100;

/// How long to wait between readings, so that `members` together make no more than two thirds of `rate`
/// calls a second, each reading taking so many.
fn period(members: usize, calls: usize, rate: u64) -> Span {
    let least = members as u64 * calls.max(1) as u64 * 1500 / rate.max(1);
    Span(least.max(PERIOD.0))
}

/// Starts the thread; each whole list goes to `tell`.
pub(crate) fn start(
    list: Address,
    rate: u64,
    shared: Arc<Shared>,
    dialect: Arc<dyn CallDialect>,
    tell: impl Fn(Event) + Send + 'static,
) -> std::io::Result<()> {
    let lines = Lines::new(LinesBounds { per_address: 2, idle_per_address: 1, idle_span: Span::seconds(20) });
    let read = move || {
        let mut was_well = true;
        loop {
            let pause = match read_list(&lines, list, dialect.as_ref()) {
                Ok((servers, calls)) => {
                    tell(Event::Roll { servers });
                    was_well = true;
                    period(shared.members.load(Ordering::Relaxed), calls, rate)
                }
                Err(why) => {
                    if was_well {
                        tracing::warn!("servers: the platform's list can't be read: {why}.");
                    }
                    was_well = false;
                    RETRY
                }
            };
            // Nodes that started together must not ask together.
            let spread = u64::from(random_bytes::<1>()[0]) * pause.0 / 1024;
            std::thread::sleep(Span(pause.0 - pause.0 / 8 + spread).duration());
        }
    };
    std::thread::Builder::new().name("servers".into()).spawn(read).map(drop)
}

fn read_list(lines: &Lines, list: Address, dialect: &dyn CallDialect) -> Result<(Vec<RollEntry>, usize), String> {
    let (mut servers, mut page) = (vec![], None);
    for calls in 1..=PAGES_MOST {
        let due = Clock::now() + PATIENCE;
        let waits = Waits { connect: Span(300), head_due: due, may_leave: &|| true, caller: None };
        let mut line =
            lines.ask(list.0, dialect.list_request(page.as_deref()), &waits).map_err(|fault| fault.to_string())?;
        let status = line.head().status.as_u16();
        let body = line.read_all(due, PAGE_MOST, None).map_err(|fault| fault.to_string())?;
        line.keep();
        if status != 200 {
            return Err(format!("it answered {status}"));
        }
        let (entries, next) = dialect.read_list(&body)?;
        servers.extend(entries);
        match next {
            Some(next) => page = Some(next),
            None => return Ok((servers, calls)),
        }
    }
    Err(format!("it has more than {PAGES_MOST} pages"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use yare::parameterized;

    #[parameterized(
        a_small_fleet = { 11, 1, 44, 1000 },
        more_pages = { 11, 4, 44, 1500 },
        a_large_one = { 88, 3, 44, 9000 },
    )]
    fn the_fleet_together_keeps_to_the_rate(members: usize, calls: usize, rate: u64, expected: u64) {
        let span = period(members, calls, rate);
        assert_eq!(span, Span(expected));
        assert!(members as u64 * calls as u64 * 1000 <= rate * span.0);
    }
}
