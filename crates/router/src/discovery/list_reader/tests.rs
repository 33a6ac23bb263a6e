use super::*;
use crate::discovery::endpoint_list::{EndpointListReading, ReadRetryPolicy};
use crate::upstream::forwarding::tests::Plain;
use std::sync::atomic::{AtomicUsize, Ordering};
use transport::{HttpServer, HttpServerBounds, Request, Response};
use types::Address;
use yare::parameterized;

/// A platform of two pages that refuses so many calls before it answers the second.
fn platform(refusals: usize) -> (Address, Arc<AtomicUsize>) {
    let http_server =
        HttpServer::open(Address::loopback(0).0, HttpServerBounds::default()).expect("a gate");
    let address = http_server.address();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let answer = move |request: Request| {
        let count = counted.fetch_add(1, Ordering::SeqCst);
        match request.path.as_str() {
            "/list/first" => Response::complete(200, "text/plain", "10.0.0.1:80 more"),
            _ if count <= refusals => Response::complete(TOO_MANY, "text/plain", "later"),
            _ => Response::complete(200, "text/plain", "10.0.0.2:80"),
        }
    };
    std::thread::spawn(move || http_server.serve(answer));
    (address, calls)
}

fn read(address: Address, effort: ReadRetryPolicy) -> EndpointListReading {
    let (tell, told) = flume::bounded(1);
    let reader = start(address, Arc::new(Plain), move |reading| {
        drop(tell.send(reading));
    })
    .expect("it starts");
    reader.send(effort).expect("it reads");
    told.recv_timeout(Duration::from_secs(30))
        .expect("it tells")
}

#[parameterized(
    nothing_refused_once = { ReadRetryPolicy::Once, 0, true, 2 },
    refused_once = { ReadRetryPolicy::Once, 1, false, 2 },
    nothing_refused = { ReadRetryPolicy::Persistent, 0, true, 2 },
    refused_for_a_while = { ReadRetryPolicy::Persistent, 3, true, 5 },
)]
fn a_page_that_is_refused_is_asked_for_again_by_whoever_reads_for_many(
    effort: ReadRetryPolicy,
    refusals: usize,
    is_read: bool,
    calls: usize,
) {
    let (address, counted) = platform(refusals);
    let reading = read(address, effort);
    let names = reading.servers.map(|servers| {
        servers
            .into_iter()
            .map(|entry| entry.server.0)
            .collect::<Vec<_>>()
    });
    assert_eq!(
        names,
        is_read.then(|| vec!["10.0.0.1:80".to_owned(), "10.0.0.2:80".to_owned()])
    );
    assert_eq!(counted.load(Ordering::SeqCst), calls);
    assert!(
        !is_read || reading.calls == 2,
        "pages are counted, not tries: {}",
        reading.calls
    );
}

#[parameterized(
    without_a_name = { entry("", Some("10.0.0.1:80")) },
    whose_name_no_header_can_bear = { entry("a\r\nb", Some("10.0.0.1:80")) },
    without_an_address = { entry("a", None) },
    whose_address_is_none = { entry("a", Some("somewhere")) },
    without_a_port = { entry("a", Some("10.0.0.1")) },
    at_port_zero = { entry("a", Some("10.0.0.1:0")) },
)]
fn a_server_of_the_list_that_no_request_could_be_sent_to_is_left_out(unusable: ServerEntry) {
    let usable = entry("b", Some("10.0.0.2:80"));
    let named_by_its_address = entry("10.0.0.3:80", None);
    let all = vec![unusable, usable.clone(), named_by_its_address.clone()];
    assert_eq!(usable_entries(all), [usable, named_by_its_address]);
}

fn entry(name: &str, address: Option<&str>) -> ServerEntry {
    ServerEntry {
        server: name.into(),
        address: address.map(str::to_owned),
        ..ServerEntry::default()
    }
}
