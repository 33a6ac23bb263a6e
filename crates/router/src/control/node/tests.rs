use super::request_placement::MAX_FINISHED_IDS;
use super::*;
use crate::control::node::{
    Node, NodeInput, NodeOutput, NodeTiming, Placement, PlacementRequest, resume_id,
};
use crate::dialect::Access;
use crate::discovery::endpoint_list::{EndpointListReading, EndpointListTiming};
use crate::request::resume_token::{Token, run_id};
use config::{ServiceKind, parse_plan};
use placement::{Event, Outcome, RequestCost, SchedulerRules, ServerEntry};
use quota::Amount;
use replication::LeaseStatus;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode, TokenKey,
    ViewNumber, ZoneName,
};
use wire::{ConfigUpdate, CoreLocation, LeaseResponse, Member, Message, seal};
use yare::parameterized;

const PLAN: &[u8] = br#"{"services":{"drafts":{"slots":8}}}"#;

const KEY: TokenKey = TokenKey([3; 32]);

struct Played {
    node: Node,
    at: u64,
    /// The number of the newest ask for credit.
    newest_ask: u64,
}

impl Played {
    fn new() -> Self {
        Played::of_life(7)
    }
    fn of_life(incarnation: u64) -> Self {
        let seeds = vec![Address::loopback(1)];
        let (timing, scheduler) = (NodeTiming::default(), SchedulerRules::default());
        let node = Node::new(
            Address::loopback(9),
            "east".into(),
            seeds,
            incarnation,
            timing,
            scheduler,
            MonotonicInstant(1_000_000),
        );
        Played {
            node,
            at: 1_000_000,
            newest_ask: 0,
        }
    }
    fn step(&mut self, input: NodeInput) -> Vec<NodeOutput> {
        let outputs = self.node.step(MonotonicInstant(self.at), input);
        for output in &outputs {
            if let NodeOutput::Send {
                message: Message::CreditRequest { request },
                ..
            } = output
            {
                self.newest_ask = request.number;
            }
        }
        outputs
    }
    fn receive(&mut self, from: u16, message: Message) -> Vec<NodeOutput> {
        self.step(NodeInput::Message {
            from: Address::loopback(from),
            message,
        })
    }
    /// The core responds to the poll that is under way, or to the next.
    fn lease(&mut self, epoch: u64, plan_epoch: u64) -> Vec<NodeOutput> {
        self.at = self.at.max(self.node.next_lease_request_at.0);
        self.step(NodeInput::ClockEvent);
        self.lease_of(self.node.lease_request_round, epoch, plan_epoch)
    }
    fn lease_of(&mut self, round: u64, epoch: u64, plan_epoch: u64) -> Vec<NodeOutput> {
        let response = LeaseResponse::Lease {
            span: Milliseconds(2000),
            epoch: ConfigEpoch(epoch),
            update: (epoch > self.node.epoch().0).then(|| update(epoch, plan_epoch, vec![])),
            view: ViewNumber(1),
            voters: vec![Address::loopback(1)],
            key: Some(KEY),
        };
        self.receive(
            1,
            Message::LeaseResponse {
                round,
                response: Box::new(response),
            },
        )
    }
    fn plan(&mut self, epoch: u64) {
        let length = PLAN.len() as u64;
        let piece = Message::PlanChunk {
            epoch: ConfigEpoch(epoch),
            offset: 0,
            length,
            bytes: PLAN.to_vec(),
        };
        for output in self.receive(1, piece) {
            if let NodeOutput::Read { plan_epoch, bytes } = output {
                let plan = parse_plan(&bytes).map(Arc::new);
                self.step(NodeInput::Plan {
                    plan_epoch,
                    plan,
                    bytes,
                });
            }
        }
    }
    fn endpoint_list(&mut self) {
        let entry = |name: &str| ServerEntry {
            server: name.into(),
            zone: "east".into(),
            pool: "model".into(),
            is_draining: false,
            ..ServerEntry::default()
        };
        let servers = (0..9).map(|n| entry(&format!("s{n}"))).collect();
        self.step(NodeInput::Event(Event::ServerList { servers }));
        (0..9).for_each(|n| self.report(&format!("s{n}"), 1, Milliseconds::seconds(60)));
    }
    /// A server tells its life, and for how long it has been up.
    fn report(&mut self, server: &str, incarnation: u64, up: Milliseconds) {
        self.step(NodeInput::Event(Event::Load {
            server: server.into(),
            incarnation,
            up,
            running: 0,
            waiting: 0,
            slots: 8,
            weights: "w1".into(),
        }));
    }
    fn place(&mut self, number: u64, id: &str, service: &str) -> Result<Placement, ResultCode> {
        self.place_again(number, id, service, 0, false)
    }
    fn place_again(
        &mut self,
        number: u64,
        id: &str,
        service: &str,
        round: u32,
        may_have_run: bool,
    ) -> Result<Placement, ResultCode> {
        let place = NodeInput::Place(PlacementRequest {
            number,
            request: id.into(),
            service: service.into(),
            kind: ServiceKind::Stream,
            route: None,
            key: None,
            hashes: vec![],
            request_cost: RequestCost::default(),
            round,
            tried: vec![],
            may_have_run,
            run: run_id([number as u8; 16]),
        });
        let outcome = self
            .step(place)
            .into_iter()
            .find_map(|output| match output {
                NodeOutput::Place { outcome, .. } => Some(outcome),
                _ => None,
            });
        outcome
            .expect("a response")
            .map_err(|rejection| rejection.code)
    }
    fn serving() -> Self {
        let mut played = Played::new();
        played.lease(3, 2);
        played.plan(2);
        played.endpoint_list();
        played
    }
}

fn update(epoch: u64, plan_epoch: u64, withdrawn: Vec<ZoneName>) -> ConfigUpdate {
    let member = |port| Member {
        address: Address::loopback(port),
        zone: "east".into(),
    };
    let members = Some([9, 8, 7].map(member).to_vec());
    let members_since = ConfigEpoch(1);
    ConfigUpdate {
        epoch: ConfigEpoch(epoch),
        plan_epoch: ConfigEpoch(plan_epoch),
        withdrawn,
        members,
        members_since,
    }
}

#[test]
fn news_without_members_counts_only_where_the_members_are_known() {
    let mut played = Played::serving();
    let brief = |epoch: u64, since: u64| {
        let (members, members_since) = (None, ConfigEpoch(since));
        Message::ConfigUpdate {
            update: Box::new(ConfigUpdate {
                members,
                members_since,
                ..update(epoch, 2, vec!["east".into()])
            }),
        }
    };
    played.receive(1, brief(4, 3));
    assert_eq!(
        (
            played.node.epoch(),
            played.node.lease_state().members().len()
        ),
        (ConfigEpoch(4), 3)
    );
    played.receive(1, brief(6, 5));
    assert_eq!(
        played.node.epoch(),
        ConfigEpoch(4),
        "the membership of epoch 5 never came"
    );
    assert!(
        played.node.lease_request_sent_at.is_some(),
        "the core is asked for it"
    );
}

/// A lease is reckoned from when this life asked, a peer check from when it sent: what answers an earlier life
/// is older than that.
#[test]
fn what_answers_an_earlier_life_is_neither_a_lease_nor_a_peer_check() {
    let mut earlier = Played::of_life(1 << 40);
    let mut played = Played::of_life(2 << 40);
    earlier.lease(3, 2);
    played.step(NodeInput::ClockEvent);
    played.lease_of(earlier.node.lease_request_round, 3, 2);
    played.plan(2);
    assert_eq!(
        played
            .node
            .lease_state()
            .status(MonotonicInstant(played.at)),
        LeaseStatus::NeverLeased
    );
    played.lease(3, 2);
    played.plan(2);
    assert_eq!(
        played
            .node
            .lease_state()
            .status(MonotonicInstant(played.at)),
        LeaseStatus::Leased
    );
    for (echoes_earlier, status) in [
        (true, LeaseStatus::Isolated),
        (false, LeaseStatus::PeerQuorum),
    ] {
        for _ in 0..40 {
            played.at += 50;
            earlier.at += 50;
            played.step(NodeInput::ClockEvent);
            earlier.step(NodeInput::ClockEvent);
            let echo = if echoes_earlier {
                earlier.node.peer_check_round
            } else {
                played.node.peer_check_round
            };
            played.receive(
                8,
                Message::PeerCheckResponse {
                    echo,
                    epoch: ConfigEpoch(3),
                },
            );
        }
        assert_eq!(
            played
                .node
                .lease_state()
                .status(MonotonicInstant(played.at)),
            status
        );
    }
}

// A response to an old request was dropped with the newer epoch that it named, and a router that its peers alone
// let act went on under the old one.
#[parameterized(
    newer = { 4, LeaseStatus::Outdated },
    same = { 3, LeaseStatus::PeerQuorum },
    older = { 2, LeaseStatus::PeerQuorum },
)]
fn a_response_to_an_old_request_grants_nothing_and_its_epoch_counts(
    epoch: u64,
    expected: LeaseStatus,
) {
    let mut played = Played::new();
    played.lease(3, 2);
    played.plan(2);
    let old_round = played.node.lease_request_round;
    for _ in 0..60 {
        played.at += 50;
        played.step(NodeInput::ClockEvent);
        let response = Message::PeerCheckResponse {
            echo: played.node.peer_check_round,
            epoch: ConfigEpoch(3),
        };
        played.receive(8, response);
    }
    let status = |played: &Played| {
        let now = MonotonicInstant(played.at);
        played.node.lease_state().status(now)
    };
    assert_eq!(status(&played), LeaseStatus::PeerQuorum);
    played.lease_of(old_round, epoch, 2);
    assert_eq!(status(&played), expected);
}

#[test]
fn a_request_is_placed_only_with_a_lease_a_plan_that_allows_it_and_a_server_list() {
    let mut played = Played::new();
    assert_eq!(
        played.place(1, "a", "drafts").err(),
        Some(ResultCode::NotReady),
        "no lease"
    );
    played.lease(3, 2);
    assert_eq!(
        played.place(1, "a", "drafts").err(),
        Some(ResultCode::NotReady),
        "the plan is still to come"
    );
    played.plan(2);
    assert_eq!(
        played.place(1, "a", "drafts").err(),
        Some(ResultCode::NotReady),
        "no server list"
    );
    played.endpoint_list();
    assert_eq!(
        played.place(1, "a", "other").err(),
        Some(ResultCode::UnknownService)
    );
    assert!(played.place(1, "a", "drafts").is_ok());
    played.at += 2000;
    assert_eq!(
        played.place(2, "b", "drafts").err(),
        Some(ResultCode::NotReady),
        "the lease has run out"
    );
}

#[test]
fn what_may_have_run_is_placed_again_only_where_the_plan_in_force_says_so() {
    let plan = br#"{"services":{"once":{},"kept":{"resumable":true},"free":{"resumable":true,"idempotent":true}}}"#;
    let mut played = Played::new();
    played.lease(3, 2);
    let (length, bytes) = (plan.len() as u64, plan.to_vec());
    for output in played.receive(
        1,
        Message::PlanChunk {
            epoch: ConfigEpoch(2),
            offset: 0,
            length,
            bytes,
        },
    ) {
        if let NodeOutput::Read { plan_epoch, bytes } = output {
            played.step(NodeInput::Plan {
                plan_epoch,
                plan: parse_plan(&bytes).map(Arc::new),
                bytes,
            });
        }
    }
    played.endpoint_list();
    for (number, service, is_again) in [(1, "once", false), (2, "kept", false), (3, "free", true)] {
        assert!(played.place(number, service, service).is_ok());
        // Some more, so that a repeat is within the service's fifth.
        for n in 0..6 {
            let id = format!("{service}-{n}");
            assert!(played.place(number * 10 + n, &id, service).is_ok());
            let request = RequestId(id);
            played.step(NodeInput::Event(Event::Ended {
                request,
                outcome: Outcome::Complete,
            }));
        }
        played.step(NodeInput::Event(Event::Ended {
            request: service.into(),
            outcome: Outcome::Failed,
        }));
        let again = played.place_again(number, service, service, 1, true);
        assert_eq!(again.is_ok(), is_again, "{service}: {again:?}");
    }
}

#[test]
fn a_second_request_of_an_id_is_turned_away_and_closes_nothing() {
    let mut played = Played::serving();
    assert!(played.place(1, "same", "drafts").is_ok());
    assert_eq!(
        played.place(2, "same", "drafts").err(),
        Some(ResultCode::RequestIdTaken)
    );
    played.step(NodeInput::Close {
        request: "same".into(),
        number: 2,
        may_have_run: true,
    });
    assert_eq!(
        played.place(3, "same", "drafts").err(),
        Some(ResultCode::RequestIdTaken),
        "the first is still in hand"
    );
    played.step(NodeInput::Drain);
    assert!(!played.node.is_drained());
    played.step(NodeInput::Close {
        request: "same".into(),
        number: 1,
        may_have_run: false,
    });
    assert!(played.node.is_drained());
}

#[test]
fn older_news_changes_nothing_and_newer_news_of_a_peer_stops_one_without_a_lease() {
    let mut played = Played::serving();
    let told = |epoch: u64, plan_epoch: u64| Message::ConfigUpdate {
        update: Box::new(update(epoch, plan_epoch, vec!["east".into()])),
    };
    let response = |epoch: u64, echo: u64| Message::PeerCheckResponse {
        echo,
        epoch: ConfigEpoch(epoch),
    };
    let asks_news = |outputs: Vec<NodeOutput>| {
        outputs.iter().any(|output| {
            matches!(
                output,
                NodeOutput::Send {
                    message: Message::ConfigUpdateRequest,
                    ..
                }
            )
        })
    };
    played.receive(8, told(2, 2));
    assert_eq!(
        (played.node.epoch(), played.node.withdrawn().len()),
        (ConfigEpoch(3), 0)
    );
    // A core that lags behind what is known here: its plan is not even asked for.
    let asks = played.lease(2, 1);
    assert!(
        !asks.iter().any(|o| matches!(
            o,
            NodeOutput::Send {
                message: Message::PlanRequest { .. },
                ..
            }
        )),
        "{asks:?}"
    );
    played.plan(1);
    assert_eq!(
        (played.node.epoch(), played.node.plan_epoch()),
        (ConfigEpoch(3), ConfigEpoch(2))
    );
    // The lease runs out; two of three answer checks, and all know the same.
    for _ in 0..60 {
        played.at += 50;
        played.step(NodeInput::ClockEvent);
        let echo = played.node.peer_check_round;
        assert!(!asks_news(played.receive(8, response(3, echo))));
        played.endpoint_list();
    }
    assert_eq!(
        played
            .node
            .lease_state()
            .status(MonotonicInstant(played.at)),
        LeaseStatus::PeerQuorum
    );
    assert!(played.place(5, "together", "drafts").is_ok());
    // The other knows of a withdrawal: it's asked for, and taken up at once, since the plan is the same.
    let echo = played.node.peer_check_round;
    assert!(asks_news(played.receive(8, response(4, echo))));
    assert_eq!(
        played.place(6, "behind", "drafts").err(),
        Some(ResultCode::NotReady),
        "until the news is here"
    );
    played.receive(8, told(4, 2));
    assert_eq!(
        (played.node.epoch(), played.node.withdrawn()),
        (ConfigEpoch(4), &["east".into()][..])
    );
    assert_eq!(
        played.place(6, "withdrawn", "drafts").err(),
        Some(ResultCode::NoServer)
    );
    // And then of a plan that has to be fetched: until it's here, nothing new is taken.
    played.receive(8, response(5, echo));
    played.receive(8, told(5, 5));
    assert_eq!(
        played.place(7, "behind", "drafts").err(),
        Some(ResultCode::NotReady)
    );
}

/// Letters that leave within this span, without an answer to any, clock events as they are due.
fn sent_within(played: &mut Played, span: u64) -> Vec<(u64, Address, Message)> {
    let until = played.at + span;
    let mut sent = vec![];
    loop {
        played.at = played.node.next_timer().0.max(played.at + 1);
        if played.at >= until {
            played.at = until;
            return sent;
        }
        let at = played.at;
        sent.extend(played.step(NodeInput::ClockEvent).into_iter().filter_map(
            |output| match output {
                NodeOutput::Send { to, message, .. } => Some((at, to, message)),
                _ => None,
            },
        ));
    }
}

#[test]
fn an_idle_node_with_a_lease_only_polls_once_a_second_and_wakes_four_times() {
    let mut played = Played::serving();
    let is_poll = |message: &Message| matches!(message, Message::LeaseRequest { .. });
    for _ in 0..10 {
        played.lease(3, 2);
        let sent = sent_within(&mut played, 390);
        assert!(
            sent.iter().all(|(_, _, message)| is_poll(message)),
            "{sent:?}"
        );
    }
    let began = played.at;
    let mut wakes = 0;
    while played.at < began + 300 {
        played.at = played.node.next_timer().0.max(played.at + 1);
        played.step(NodeInput::ClockEvent);
        wakes += 1;
    }
    assert!(wakes <= 3, "{wakes} wake-ups in 300 ms");
}

#[test]
fn a_node_cut_off_asks_all_members_from_shortly_before_its_lease_lapses_and_ever_less_often() {
    let mut played = Played::serving();
    played.lease(3, 2);
    let (began, deadline) = (
        played.at,
        played
            .node
            .lease_state()
            .lease_deadline()
            .expect("a lease")
            .0,
    );
    let sent = sent_within(&mut played, 20_000);
    let asks: Vec<u64> = sent
        .iter()
        .filter(|(_, to, message)| {
            matches!(message, Message::PeerCheckRequest { .. }) && *to == Address::loopback(8)
        })
        .map(|(at, ..)| *at)
        .collect();
    assert!(
        asks[0] + 600 >= deadline && asks[0] + 300 <= deadline,
        "first at {} ms",
        asks[0] - began
    );
    assert!(
        (8..=18).contains(&asks.len()),
        "{} asks in 20 s",
        asks.len()
    );
    assert_eq!(
        played
            .node
            .lease_state()
            .status(MonotonicInstant(played.at)),
        LeaseStatus::Isolated
    );
    assert_eq!(
        played.place(1, "alone", "drafts").err(),
        Some(ResultCode::NotReady)
    );
    let sealed = sent
        .iter()
        .filter(|(.., message)| matches!(message, Message::PeerCheckRequest { .. }));
    for (_, _, message) in sealed {
        let bytes = seal(Address::loopback(9), message).expect("sealed").len();
        assert!(bytes < 100, "{bytes} bytes");
    }
}

#[test]
fn a_poll_and_its_answer_are_small_when_nothing_is_new() {
    let mut played = Played::serving();
    let requested_at = sent_within(&mut played, 1500);
    let poll = requested_at
        .iter()
        .find(|(_, _, message)| matches!(message, Message::LeaseRequest { .. }))
        .expect("a poll");
    let response = LeaseResponse::Lease {
        span: Milliseconds(2000),
        epoch: ConfigEpoch(3),
        update: None,
        view: ViewNumber(1),
        voters: vec![],
        key: None,
    };
    for message in [
        &poll.2,
        &Message::LeaseResponse {
            round: 1,
            response: Box::new(response),
        },
    ] {
        let bytes = seal(Address::loopback(9), message).expect("sealed").len();
        assert!(bytes < 220, "{bytes} bytes of {message:?}");
    }
}

#[test]
fn an_id_that_may_have_run_is_not_taken_again_and_the_memory_of_ids_is_bounded() {
    let mut played = Played::serving();
    let close = |played: &mut Played, id: &str, may_have_run: bool| {
        played.step(NodeInput::Event(Event::Ended {
            request: id.into(),
            outcome: Outcome::Complete,
        }));
        played.step(NodeInput::Close {
            request: id.into(),
            number: 1,
            may_have_run,
        });
    };
    assert!(played.place(1, "ran", "drafts").is_ok());
    close(&mut played, "ran", true);
    assert_eq!(
        played.place(2, "ran", "drafts").err(),
        Some(ResultCode::RequestIdTaken)
    );
    played.step(NodeInput::Close {
        request: "ran".into(),
        number: 2,
        may_have_run: false,
    });
    assert!(played.place(1, "refused", "drafts").is_ok());
    close(&mut played, "refused", false);
    assert!(
        played.place(1, "refused", "drafts").is_ok(),
        "what never ran may come again"
    );
    close(&mut played, "refused", false);
    for n in 0..MAX_FINISHED_IDS {
        let id = RequestId(format!("more-{n}"));
        played.node.in_flight.insert(id.clone(), 1);
        close(&mut played, id.as_str(), true);
    }
    assert!(
        played.place(1, "ran", "drafts").is_ok(),
        "the oldest is forgotten"
    );
    assert_eq!(
        (played.node.finished.len(), played.node.finished_ids.len()),
        (MAX_FINISHED_IDS, MAX_FINISHED_IDS)
    );
}

#[test]
fn a_stream_that_is_read_on_holds_a_planned_stop_up_and_none_begins_after_it() {
    let resume = |played: &mut Played, number: u64, token: &str| {
        let token = token.to_owned();
        let outcome = played
            .step(NodeInput::Resume { number, token })
            .into_iter()
            .find_map(|output| match output {
                NodeOutput::Resume { outcome, .. } => {
                    Some(outcome.map_err(|rejection| rejection.code))
                }
                _ => None,
            });
        outcome.expect("a response")
    };
    let token = Token {
        request: "a".into(),
        service: "drafts".into(),
        server: "s1".into(),
        run: "r".into(),
    };
    let sealed = token.seal(&KEY);
    let mut played = Played::new();
    assert_eq!(
        resume(&mut played, 1, &sealed).err(),
        Some(ResultCode::NotReady),
        "it has just started"
    );
    let mut played = Played::serving();
    assert_eq!(
        resume(&mut played, 1, "zz").err(),
        Some(ResultCode::BadToken)
    );
    let unlisted = Token {
        server: "elsewhere".into(),
        ..token.clone()
    }
    .seal(&KEY);
    assert_eq!(
        resume(&mut played, 1, &unlisted).err(),
        Some(ResultCode::ResumeFailed)
    );
    assert_eq!(resume(&mut played, 1, &sealed), Ok(token));
    played.step(NodeInput::Drain);
    assert_eq!(
        resume(&mut played, 2, &sealed).err(),
        Some(ResultCode::Draining)
    );
    assert!(
        !played.node.is_drained(),
        "a stream that is read on is in hand, too"
    );
    played.step(NodeInput::Close {
        request: resume_id(1),
        number: 1,
        may_have_run: false,
    });
    assert!(played.node.is_drained());
}

/// After a sleep the list may be another: nothing is placed until it was read anew.
#[test]
fn a_node_that_reads_the_list_places_nothing_after_a_sleep_until_it_has_read_it_anew() {
    let reading = |requested_at: u64| {
        let entry = ServerEntry {
            server: "s0".into(),
            zone: "east".into(),
            pool: "model".into(),
            ..ServerEntry::default()
        };
        NodeInput::List(EndpointListReading {
            requested_at: MonotonicInstant(requested_at),
            calls: 1,
            servers: Some(vec![entry]),
        })
    };
    let reads = |outputs: Vec<NodeOutput>| {
        outputs
            .iter()
            .any(|output| matches!(output, NodeOutput::ReadList(_)))
    };
    let mut played = Played::new();
    played.node = played
        .node
        .with_endpoint_list(EndpointListTiming::default());
    assert!(reads(played.step(NodeInput::ClockEvent)));
    played.lease(3, 2);
    played.plan(2);
    assert_eq!(
        played.place(1, "a", "drafts").err(),
        Some(ResultCode::NotReady),
        "no list"
    );
    played.step(reading(played.at));
    played.report("s0", 1, Milliseconds::seconds(60));
    assert!(played.place(1, "a", "drafts").is_ok());
    let requested_at = played.at;
    played.at += 5000;
    assert!(reads(played.step(NodeInput::ClockEvent)));
    played.lease(3, 2);
    played.step(reading(requested_at));
    assert_eq!(
        played.place(2, "b", "drafts").err(),
        Some(ResultCode::NotReady),
        "read before the sleep"
    );
    played.step(reading(played.at));
    assert!(played.place(2, "b", "drafts").is_ok());
}

// A zone that was taken back sent its servers, which had become cold meanwhile, what warm ones bear.
#[parameterized(
    read_before_the_restoration = { -100, 0, true },
    within_the_lag_of_the_list = { 700, 0, true },
    read_after_it = { 1100, 0, false },
    read_after_it_and_warming_up = { 1100, 3000, true },
)]
fn the_servers_of_a_restored_zone_warm_up_until_a_newer_list_is_known(
    requested_after: i64,
    warm_up_left: u64,
    is_warming_up: bool,
) {
    let reading = |requested_at: u64, left: u64| {
        let entry = ServerEntry {
            server: "s0".into(),
            zone: "north".into(),
            pool: "model".into(),
            warm_up_left: Some(Milliseconds(left)),
            ..ServerEntry::default()
        };
        NodeInput::List(EndpointListReading {
            requested_at: MonotonicInstant(requested_at),
            calls: 1,
            servers: Some(vec![entry]),
        })
    };
    let mut played = Played::new();
    played.node = played.node.with_endpoint_list(EndpointListTiming {
        list_lag: Milliseconds(800),
        ..EndpointListTiming::default()
    });
    played.step(NodeInput::ClockEvent);
    played.lease(3, 2);
    played.plan(2);
    played.step(reading(played.at, 0));
    let warms_up = |played: &Played| {
        let server = &played.node.scheduler().servers()[&ServerName::from("s0")];
        server.is_warming_up(Milliseconds(0), MonotonicInstant(played.at))
    };
    assert!(!warms_up(&played));
    played.at += 200;
    for (epoch, withdrawn) in [(4, vec!["north".into()]), (5, vec![])] {
        let update = Box::new(update(epoch, 2, withdrawn));
        played.receive(1, Message::ConfigUpdate { update });
    }
    assert!(warms_up(&played), "nothing is known since");
    let requested_at = played.at.saturating_add_signed(requested_after);
    for _ in 0..2 {
        played.at += 600;
        played.step(NodeInput::ClockEvent);
    }
    played.step(reading(requested_at, warm_up_left));
    assert_eq!(warms_up(&played), is_warming_up);
}

/// A control node that was away for long knows an old view alone, whose machines may all be gone by now.
#[test]
fn an_old_view_is_not_taken_for_a_newer_one() {
    let mut played = Played::serving();
    let ports = |node: &Node| {
        node.voters
            .iter()
            .map(|voter| voter.0.port())
            .collect::<Vec<_>>()
    };
    let lease_request_sent_at = |played: &mut Played, view: u64, voters: [u16; 2]| {
        played.at = played.at.max(played.node.next_lease_request_at.0);
        played.step(NodeInput::ClockEvent);
        let voters = voters.map(Address::loopback).to_vec();
        let response = LeaseResponse::Elsewhere {
            view: ViewNumber(view),
            tail: voters.first().copied(),
            voters,
        };
        played.receive(
            5,
            Message::LeaseResponse {
                round: played.node.lease_request_round,
                response: Box::new(response),
            },
        );
    };
    lease_request_sent_at(&mut played, 4, [21, 22]);
    assert_eq!(ports(&played.node), [21, 22]);
    lease_request_sent_at(&mut played, 3, [11, 12]);
    assert_eq!(ports(&played.node), [21, 22], "an older view");
    lease_request_sent_at(&mut played, 5, [31, 32]);
    assert_eq!(ports(&played.node), [31, 32]);
    assert_eq!(played.node.tail, Some(Address::loopback(31)));
}

fn events(outputs: Vec<NodeOutput>) -> Vec<Event> {
    let event_of = |output| match output {
        NodeOutput::Event(timestamped) => Some(timestamped.event),
        _ => None,
    };
    outputs.into_iter().filter_map(event_of).collect()
}

#[test]
fn the_scheduler_is_told_of_each_lease_and_of_each_membership_even_if_its_members_are_the_same() {
    let mut played = Played::serving();
    let renewed = events(played.lease(3, 2));
    let until = played
        .node
        .lease_state()
        .lease_deadline()
        .expect("it holds one");
    assert_eq!(
        renewed,
        [Event::Lease {
            until,
            span: Milliseconds(2000)
        }]
    );
    let of_membership = |epoch: u64, since: u64| {
        let update = ConfigUpdate {
            members_since: ConfigEpoch(since),
            ..update(epoch, 2, vec![])
        };
        Message::ConfigUpdate {
            update: Box::new(update),
        }
    };
    let since_of = |outputs: Vec<NodeOutput>| {
        let since = events(outputs).into_iter().find_map(|event| match event {
            Event::Members { since, .. } => Some(since),
            _ => None,
        });
        since.map(|since| since.0)
    };
    assert_eq!(
        since_of(played.receive(1, of_membership(4, 1))),
        None,
        "the membership that it knows"
    );
    assert_eq!(
        since_of(played.receive(1, of_membership(6, 6))),
        Some(6),
        "they were others meanwhile"
    );
    let known = played.receive(8, Message::ConfigUpdateRequest);
    let Some(NodeOutput::Send {
        message: Message::ConfigUpdate { update },
        ..
    }) = known.into_iter().next()
    else {
        panic!("it tells what it knows");
    };
    assert_eq!(
        update.members_since,
        ConfigEpoch(6),
        "as old as the core said, not as new as the news"
    );
}

#[test]
fn a_request_names_the_life_that_its_server_was_judged_by() {
    let mut played = Played::serving();
    let placing = played.place(1, "a", "drafts").expect("placed");
    assert_eq!(placing.incarnation, Some(1));
    let server = placing.server.clone();
    // It has another life, says the server itself: it's left alone, and then ramps up.
    played.step(NodeInput::Event(Event::Unreachable {
        server: server.clone(),
    }));
    for number in 2..20 {
        let placing = played
            .place(number, &format!("o{number}"), "drafts")
            .expect("placed");
        assert_ne!(placing.server, server);
    }
    played.report(server.as_str(), 2, Milliseconds(100));
    let now = MonotonicInstant(played.at);
    assert!(
        played.node.scheduler().servers()[&server]
            .is_in_slow_start(now, &SchedulerRules::default())
    );
}

/// Whom these outputs poll.
fn lease_request_sent_at(outputs: Vec<NodeOutput>) -> Vec<u16> {
    let to = |output| match output {
        NodeOutput::Send {
            to,
            message: Message::LeaseRequest { .. },
            ..
        } => Some(to.0.port()),
        _ => None,
    };
    outputs.into_iter().filter_map(to).collect()
}

/// After a restart whose seeds are all gone, the core's tail calls.
#[test]
fn a_node_without_a_lease_that_the_core_calls_polls_it_at_once() {
    let call = |view: u64, voters: &[u16]| {
        let voters = voters.iter().copied().map(Address::loopback).collect();
        let location = Box::new(CoreLocation {
            view: ViewNumber(view),
            voters,
            controllers: vec![],
        });
        Message::CoreLocation {
            location,
            is_response: true,
        }
    };
    let mut played = Played::new();
    assert_eq!(
        lease_request_sent_at(played.step(NodeInput::ClockEvent)),
        [1],
        "its seed"
    );
    assert_eq!(
        lease_request_sent_at(played.receive(5, call(3, &[4, 5]))),
        [5]
    );
    assert_eq!(
        lease_request_sent_at(played.receive(6, call(2, &[6]))),
        Vec::<u16>::new(),
        "an older view"
    );
    assert_eq!(
        lease_request_sent_at(played.receive(6, call(4, &[]))),
        Vec::<u16>::new(),
        "nobody is named"
    );
    // It goes on asking those that it was told of.
    played.at += 400;
    let next = lease_request_sent_at(played.step(NodeInput::ClockEvent));
    assert!(next == [4] || next == [5] || next == [1], "{next:?}");

    let mut leased = Played::serving();
    assert_eq!(
        lease_request_sent_at(leased.receive(5, call(9, &[5]))),
        Vec::<u16>::new(),
        "one with a lease needs no call"
    );
}

// ---- Tenants.

use quota::{CreditGrant, TenantCreditGrant};

const TENANTS: &str = r#"{"services":{"drafts":{"slots":8}},"tenants":[
    {"name":"limited","api_keys":["k1"],"rate_per_s":10.0,"burst":10.0},
    {"name":"free","api_keys":["k2","s3cret"]}]}"#;
const WITHOUT_K2: &str =
    r#"{"services":{"drafts":{"slots":8}},"tenants":[{"name":"free","api_keys":["s3cret"]}]}"#;

impl Played {
    /// The core tells of a plan, and gives it.
    fn take_plan(&mut self, epoch: u64, plan: &str) {
        self.at += 500;
        self.step(NodeInput::ClockEvent);
        self.lease_of(self.node.lease_request_round, epoch, epoch);
        let (length, bytes) = (plan.len() as u64, plan.as_bytes().to_vec());
        let piece = Message::PlanChunk {
            epoch: ConfigEpoch(epoch),
            offset: 0,
            length,
            bytes,
        };
        for output in self.receive(1, piece) {
            if let NodeOutput::Read { plan_epoch, bytes } = output {
                let plan = parse_plan(&bytes).map(Arc::new);
                self.step(NodeInput::Plan {
                    plan_epoch,
                    plan,
                    bytes,
                });
            }
        }
    }
    fn with_tenants() -> Self {
        let mut played = Played::new();
        played.take_plan(3, TENANTS);
        played.endpoint_list();
        // The tail is told first that nothing is held.
        let number = played.newest_ask;
        played.grant(number, 0, 0);
        played
    }
    fn place_as(&mut self, number: u64, key: &str) -> Vec<NodeOutput> {
        let key = Some(self.node.tenants().digest(&key.into()));
        self.step(NodeInput::Place(PlacementRequest {
            number,
            request: format!("r{number}").as_str().into(),
            service: "drafts".into(),
            kind: ServiceKind::Stream,
            route: None,
            key,
            hashes: vec![],
            request_cost: RequestCost::default(),
            round: 0,
            tried: vec![],
            may_have_run: false,
            run: run_id([number as u8; 16]),
        }))
    }
    /// Answers the node's newest ask: so much of the limited tenant's quota, or nothing for a while.
    fn grant(&mut self, number: u64, granted: u64, wait: u64) -> Vec<NodeOutput> {
        let entry = TenantCreditGrant {
            tenant: "limited".into(),
            granted: Amount::units(granted),
            retry_after: Milliseconds(wait),
        };
        let grant = CreditGrant {
            number,
            lifetime: Milliseconds(4000),
            wants_complete: false,
            entries: vec![entry],
        };
        self.receive(
            1,
            Message::CreditGrant {
                grant: Box::new(grant),
            },
        )
    }
}

fn placed_among(outputs: &[NodeOutput]) -> Vec<(u64, Result<Access, ResultCode>)> {
    let placed = outputs.iter().filter_map(|output| match output {
        NodeOutput::Place { number, outcome } => Some((*number, outcome.clone())),
        _ => None,
    });
    placed
        .map(|(number, outcome)| {
            (
                number,
                outcome
                    .map(|p| p.access)
                    .map_err(|rejection| rejection.code),
            )
        })
        .collect()
}

#[test]
fn a_key_is_its_tenants_under_the_plan_held() {
    let mut played = Played::with_tenants();
    assert_eq!(
        placed_among(&played.place_as(1, "k2")),
        [(1, Ok(Access::Tenant("free".into())))]
    );
    assert_eq!(
        placed_among(&played.place_as(2, "none")),
        [(2, Err(ResultCode::Unauthorized))]
    );
    played.take_plan(4, WITHOUT_K2);
    assert_eq!(
        placed_among(&played.place_as(3, "k2")),
        [(3, Err(ResultCode::Unauthorized))]
    );
    assert_eq!(
        placed_among(&played.place_as(4, "s3cret")),
        [(4, Ok(Access::Tenant("free".into())))]
    );
}

#[test]
fn a_request_without_a_key_comes_back_once_the_plan_wants_keys() {
    let mut played = Played::with_tenants();
    assert_eq!(played.place(1, "r1", "drafts"), Err(ResultCode::NotReady));
}

#[test]
fn a_limited_tenants_request_waits_for_credit() {
    let mut played = Played::with_tenants();
    let outputs = played.place_as(1, "k1");
    assert_eq!(placed_among(&outputs), []);
    let number = played.newest_ask;
    let outputs = played.grant(number, 3, 0);
    assert_eq!(
        placed_among(&outputs),
        [(1, Ok(Access::Tenant("limited".into())))]
    );
    assert_eq!(
        placed_among(&played.place_as(2, "k1")).len(),
        1,
        "credit is left"
    );
    assert_eq!(
        placed_among(&played.grant(number, 50, 0)),
        [],
        "the same answer again"
    );
}

#[test]
fn beyond_the_quota_a_request_is_refused_at_once_with_a_time() {
    let mut played = Played::with_tenants();
    played.place_as(1, "k1");
    let number = played.newest_ask;
    assert_eq!(
        placed_among(&played.grant(number, 0, 400)),
        [(1, Err(ResultCode::OverQuota))]
    );
    assert_eq!(
        placed_among(&played.place_as(2, "k1")),
        [(2, Err(ResultCode::OverQuota))]
    );
    played.at += 500;
    assert_eq!(
        placed_among(&played.place_as(3, "k1")),
        [],
        "it is asked for again"
    );
}

#[test]
fn without_the_cores_answer_a_request_is_refused_soon() {
    let mut played = Played::with_tenants();
    played.place_as(1, "k1");
    played.at += 400;
    let outputs = played.step(NodeInput::ClockEvent);
    assert_eq!(placed_among(&outputs), [(1, Err(ResultCode::QuotaUnknown))]);
}

#[test]
fn whoever_goes_away_while_waiting_takes_nothing() {
    let mut played = Played::with_tenants();
    played.place_as(1, "k1");
    played.step(NodeInput::Close {
        request: "r1".into(),
        number: 1,
        may_have_run: false,
    });
    let number = played.newest_ask;
    assert_eq!(placed_among(&played.grant(number, 3, 0)), []);
}

#[test]
fn no_key_is_shown_by_what_a_node_tells() {
    let mut played = Played::with_tenants();
    let mut said = format!("{:?}", played.place_as(1, "s3cret"));
    said += &format!("{:?}", played.place_as(2, "s3cret-but-wrong"));
    said += &format!(
        "{:?} {:?}",
        played.node.reserved_credit(),
        played.node.tenants()
    );
    assert!(!said.contains("s3cret"), "{said}");
}
