//! One connection, and answers that end as their framing says or do not.

use super::*;
use crate::workload::{Workload, WorkloadKind};
use std::net::TcpListener;
use yare::parameterized;

/// Answers the requests of one connection with these texts, and closes it; gives how many requests came.
fn serve(answers: Vec<String>) -> (Address, std::thread::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = Address(listener.local_addr().expect("an address"));
    let served = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a client");
        let mut connection = BufReader::new(stream);
        let mut count = 0;
        for answer in answers {
            while let Ok(line) = read_line(&mut connection) {
                if line.is_empty() {
                    break;
                }
            }
            count += 1;
            let _ = connection.get_mut().write_all(answer.as_bytes());
        }
        count
    });
    (address, served)
}

fn planned_page() -> PlannedRequest {
    let mut workload = Workload::new(WorkloadKind::Pahana, 7);
    loop {
        let (_, planned) = workload.next(0.0, 1.0);
        if planned.is_fetch {
            return planned;
        }
    }
}

#[test]
fn requests_go_on_over_one_connection_until_the_router_ends_it() {
    let planned = planned_page();
    let id = &planned.id;
    let length = id.len();
    let chunked = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{id}\r\n0\r\n\r\n"
    );
    let with_length = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{id}");
    let last = "HTTP/1.1 503 No\r\ncontent-length: 26\r\nretry-after: 2\r\nconnection: close\r\n\r\n{\"code\": 106,\"ran\": false}";
    let (address, served) = serve(vec![chunked, with_length, last.to_owned()]);
    let mut client = PersistentClient::new(address);
    let records: Vec<RequestRecord> = (0..3).map(|_| client.send(&planned)).collect();
    let outcomes: Vec<&Outcome> = records.iter().map(|record| &record.outcome).collect();
    assert_eq!(
        outcomes,
        [
            &Outcome::Complete,
            &Outcome::Complete,
            &Outcome::Refused(106)
        ]
    );
    assert_eq!(records[2].retry_after, Some(2));
    assert_eq!(served.join().expect("no panic"), 3);
    assert!(client.connection.is_none());
    assert_eq!(client.connections(), 1);
}

#[parameterized(
    without_an_answer = { "", Outcome::Unknown(0) },
    in_the_head = { "HTTP/1.1 200 OK\r\ncontent-le", Outcome::Unknown(0) },
    in_the_body = { "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npage", Outcome::Broken },
    in_a_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n14\r\npage", Outcome::Broken },
    before_the_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npage\r\n", Outcome::Broken },
)]
fn a_connection_that_breaks_off_is_no_answer(answer: &str, expected: Outcome) {
    let (address, served) = serve(vec![answer.to_owned()]);
    let mut client = PersistentClient::new(address);
    let record = client.send(&planned_page());
    assert_eq!(record.outcome, expected);
    assert_eq!(record.violations, Vec::<String>::new());
    assert!(client.connection.is_none());
    assert_eq!(served.join().expect("no panic"), 1);
}
