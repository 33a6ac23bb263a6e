use super::*;
use bytes::Bytes;
use config::{Plan, parse_plan};
use transport::{
    ConnectionError, ConnectionPool, ConnectionPoolBounds, HttpServer, HttpServerBounds,
    PooledResponse, Response, SendOptions,
};
use types::{Address, Clock, Milliseconds};
use yare::parameterized;

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Milliseconds = Milliseconds::seconds(30);

#[parameterized(
    small_site = { 650, 12 },
    grown_site = { 690, 88 },
    few_connections = { 130, 88 },
    one_node = { 40, 1 },
    no_node_known = { 40, 0 },
    as_many_nodes_as_connections = { 12, 10 },
)]
fn shares_never_add_up_to_more_than_a_server_accepts(accepted: usize, members: usize) {
    let share = connection_share(accepted, members);
    let joining = members.max(1).div_ceil(JOINING_PART);
    assert!(
        share >= 1 && share * (members + joining) <= accepted,
        "{share} each of {members} and {joining}"
    );
}

#[test]
fn a_share_is_one_at_least_and_no_more_than_a_node_holds() {
    assert_eq!([connection_share(5, 88), connection_share(1, 1)], [1, 1]);
    assert_eq!(
        [connection_share(100_000, 2), connection_share(0, 88)],
        [MOST_TO_ONE_SERVER; 2]
    );
    assert_eq!(
        [
            connection_share(690, 88),
            connection_share(590, 88),
            connection_share(650, 12)
        ],
        [6, 5, 46]
    );
}

/// A server that keeps its connections, and answers once released.
struct Server {
    address: SocketAddr,
    at_work: flume::Receiver<flume::Sender<()>>,
}

impl Server {
    fn start() -> Server {
        let bounds = HttpServerBounds {
            keep_alive: true,
            ..HttpServerBounds::default()
        };
        let http_server =
            HttpServer::open("127.0.0.1:0".parse().expect("an address"), bounds).expect("a port");
        let address = http_server.address().0;
        let (work, at_work) = flume::unbounded();
        std::thread::spawn(move || {
            http_server.serve(move |_| {
                let (release, released) = flume::bounded::<()>(1);
                let _ = work.send(release);
                let _ = released.recv_timeout(GUARD.duration());
                Response::forwarded(200, http::HeaderMap::new(), "")
            });
        });
        Server { address, at_work }
    }
}

fn ask(pool: &ConnectionPool, address: SocketAddr) -> Result<PooledResponse, ConnectionError> {
    let request = http::Request::builder()
        .uri("/")
        .header("host", "a")
        .body(Bytes::new())
        .expect("a request");
    let waits = SendOptions {
        connect_timeout: GUARD,
        head_deadline: Clock::now() + GUARD,
        may_send: &|| true,
        client: None,
    };
    pool.send_request(address, request, &waits)
}

fn plan(accepted: usize) -> Plan {
    let plan = serde_json::json!({"services": {"s": {"connections": accepted}}});
    parse_plan(plan.to_string().as_bytes()).expect("a good plan")
}

fn limits(mutant: Option<LimitsMutant>) -> (ConnectionLimits, ConnectionPool) {
    let http_server = HttpServer::open(
        "127.0.0.1:0".parse().expect("an address"),
        HttpServerBounds::default(),
    )
    .expect("a port");
    let pool = ConnectionPool::new(ConnectionPoolBounds {
        max_per_address: 64,
        max_idle_per_address: 32,
        idle_timeout: GUARD,
    });
    (
        ConnectionLimits {
            mutant,
            ..ConnectionLimits::new(http_server.limiter(), pool.clone())
        },
        pool,
    )
}

/// Asks so often at the same time; the requests are answered once all that could be sent have come.
fn ask_at_once(
    pool: &ConnectionPool,
    server: &Server,
    count: usize,
) -> Vec<Result<PooledResponse, ConnectionError>> {
    let asking: Vec<_> = (0..count)
        .map(|_| {
            let (pool, address) = (pool.clone(), server.address);
            std::thread::spawn(move || ask(&pool, address))
        })
        .collect();
    let full = |asking: &[std::thread::JoinHandle<_>]| {
        asking.iter().filter(|one| one.is_finished()).count()
    };
    let mut at_work = vec![];
    while at_work.len() + full(&asking) < count {
        at_work.extend(
            server
                .at_work
                .recv_timeout(std::time::Duration::from_millis(5)),
        );
    }
    at_work.clear();
    asking
        .into_iter()
        .map(|one| one.join().expect("no panic"))
        .collect()
}

fn opens_its_share_alone(mutant: Option<LimitsMutant>) -> bool {
    let (limits, pool) = limits(mutant);
    let server = Server::start();
    limits.set_member_count(4);
    limits.apply_plan(&plan(15));
    limits.limit_connections(server.address, &"s".into());
    // 15 over 4 members and one that may be joining.
    let outcomes = ask_at_once(&pool, &server, 8);
    let is_full = |outcome: &&Result<PooledResponse, ConnectionError>| {
        matches!(outcome, Err(ConnectionError::PoolExhausted))
    };
    outcomes.iter().filter(is_full).count() == 5 && pool.open_count(server.address) == 3
}

fn closes_what_rests_beyond_its_share(mutant: Option<LimitsMutant>) -> bool {
    let (limits, pool) = limits(mutant);
    let server = Server::start();
    limits.apply_plan(&plan(15));
    limits.limit_connections(server.address, &"s".into());
    let opened: Vec<PooledResponse> = ask_at_once(&pool, &server, 6)
        .into_iter()
        .flatten()
        .collect();
    opened.into_iter().for_each(PooledResponse::release);
    assert_eq!(
        (
            pool.open_count(server.address),
            pool.idle_count(server.address)
        ),
        (6, 6)
    );
    limits.set_member_count(4);
    pool.open_count(server.address) <= 3
}

#[test]
fn a_node_opens_no_more_connections_than_its_share_and_those_at_rest_count() {
    assert!(opens_its_share_alone(None) && closes_what_rests_beyond_its_share(None));
}

#[test]
fn each_mutant_is_caught() {
    assert!(!opens_its_share_alone(Some(LimitsMutant::TakeAll)));
    assert!(!closes_what_rests_beyond_its_share(Some(
        LimitsMutant::ForgetIdle
    )));
}

#[test]
fn what_is_in_use_beyond_a_smaller_share_is_closed_once_it_is_free() {
    let (limits, pool) = limits(None);
    let server = Server::start();
    limits.apply_plan(&plan(15));
    limits.limit_connections(server.address, &"s".into());
    let opened: Vec<PooledResponse> = ask_at_once(&pool, &server, 6)
        .into_iter()
        .flatten()
        .collect();
    limits.apply_plan(&plan(4));
    assert_eq!(pool.open_count(server.address), 6, "in use");
    opened.into_iter().for_each(PooledResponse::release);
    assert_eq!(
        (
            pool.open_count(server.address),
            pool.idle_count(server.address)
        ),
        (2, 2)
    );
}

#[test]
fn an_address_that_serves_another_service_has_the_share_of_that() {
    let (limits, pool) = limits(None);
    let server = Server::start();
    let both = serde_json::json!({"services": {"s": {"connections": 2}, "t": {"connections": 8}}});
    limits.apply_plan(&parse_plan(both.to_string().as_bytes()).expect("a good plan"));
    limits.limit_connections(server.address, &"s".into());
    assert_eq!(
        ask_at_once(&pool, &server, 6).into_iter().flatten().count(),
        1
    );
    limits.limit_connections(server.address, &"t".into());
    assert_eq!(
        ask_at_once(&pool, &server, 6).into_iter().flatten().count(),
        4
    );
}

#[test]
fn addresses_without_a_connection_are_forgotten() {
    let (limits, _lines) = limits(None);
    for port in 1..100 {
        limits.limit_connections(Address::loopback(port).0, &"s".into());
    }
    limits.set_member_count(3);
    assert_eq!(limits.state().services.len(), 0);
}
