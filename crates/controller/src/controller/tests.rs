use super::*;
use crate::admin::control_client::OPERATOR_PATIENCE;
use crate::controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, OperatorRequest, Quorum,
    RequestAge,
};
use crate::discovery::peer_discovery::PeerDiscovery;
use config::{Command, ConfigStateMachine, Proposal};
use replication::{
    ChainPosition, Record, RecoveredRecords, Replica, ReplicationMessage, View, Voter,
};
use types::{
    Address, ConfigEpoch, DiskId, Milliseconds, MonotonicInstant, ResultCode, TokenKey, ViewNumber,
};
use wire::{LeaseRequest, Member, Message, Query};

mod unsettled_membership;

/// Controller 2 in a chain of 1, 2, 3: it proposes to 1 and queries 3.
struct Played {
    controller: Controller,
    at: u64,
}

/// What left the controller, of what a trace is about.
#[derive(Debug, PartialEq)]
enum Left {
    Query(u16, u64),
    Propose(u16, u64),
    Response(u64, u16),
}

impl Played {
    fn new(incarnation: u64) -> Self {
        let voter = |n: u16| Voter {
            address: Address::loopback(n),
            disk: DiskId(u128::from(n)),
        };
        let chain = (1..=3)
            .map(|n| ChainPosition {
                voter: voter(n),
                is_caught_up: true,
            })
            .collect();
        let view = View {
            epoch: ViewNumber(1),
            chain,
            voters: (1..=3).map(voter).collect(),
            reserve: vec![],
        };
        let recovered = RecoveredRecords {
            records: vec![Record::View { view }],
        };
        let founders = (1..=3).map(Address::loopback).collect();
        let (timing, at) = (ControllerTiming::default(), 10_000);
        let replica = Replica::new(
            voter(2),
            founders,
            timing.replica,
            recovered,
            ConfigStateMachine::default(),
            MonotonicInstant(at),
        )
        .unwrap();
        let contacts = PeerDiscovery::new(Address::loopback(2), None, vec![], MonotonicInstant(at));
        Played {
            controller: Controller::new(
                replica,
                contacts,
                timing,
                TokenKey([3; 32]),
                incarnation,
                MonotonicInstant(at),
            ),
            at,
        }
    }
    fn step(&mut self, after: u64, input: ControllerInput) -> Vec<Left> {
        self.at += after;
        let left = |output| match output {
            ControllerOutput::Send {
                to,
                message: Message::Replication { message },
                ..
            } => match *message {
                ReplicationMessage::Propose { request_id, .. } => {
                    Some(Left::Propose(to.0.port(), request_id.number))
                }
                _ => None,
            },
            ControllerOutput::Send {
                to,
                message: Message::QueryRequest { number, .. },
                ..
            } => Some(Left::Query(to.0.port(), number)),
            ControllerOutput::Response { number, status, .. } => {
                Some(Left::Response(number, status))
            }
            _ => None,
        };
        self.controller
            .step(MonotonicInstant(self.at), input)
            .into_iter()
            .filter_map(left)
            .collect()
    }
    /// Of a request that arrives now.
    fn age(&self) -> RequestAge {
        RequestAge::new(MonotonicInstant(self.at), OPERATOR_PATIENCE)
    }
    fn tick(&mut self, after: u64) -> Vec<Left> {
        self.step(after, ControllerInput::ClockEvent)
    }
    fn read(&mut self, number: u64) -> Vec<Left> {
        let age = self.age();
        self.receive_request(number, OperatorRequest::Read(Query::Latest), age)
    }
    fn propose(&mut self, number: u64, command: Command) -> Vec<Left> {
        let age = self.age();
        self.receive_request(number, propose(command), age)
    }
    fn receive_request(
        &mut self,
        number: u64,
        request: OperatorRequest,
        age: RequestAge,
    ) -> Vec<Left> {
        let input = ControllerInput::Operator {
            number,
            request,
            age,
        };
        self.step(0, input)
    }
    fn receive_response(&mut self, from: u16, number: u64) -> Vec<Left> {
        let message = Message::QueryResponse {
            number,
            status: 200,
            body: br#"{"heard":[]}"#.to_vec(),
        };
        self.step(
            5,
            ControllerInput::Message {
                from: Address::loopback(from),
                message,
            },
        )
    }
    fn respond(&mut self, from: u16, number: u64, is_final: bool) -> Vec<Left> {
        let body = serde_json::json!({"code": ResultCode::Accepted.number(), "epoch": 1});
        let body = if is_final {
            body.to_string().into_bytes()
        } else {
            vec![]
        };
        let message = Message::Replication {
            message: Box::new(ReplicationMessage::Response {
                number,
                is_final,
                body,
            }),
        };
        self.step(
            5,
            ControllerInput::Message {
                from: Address::loopback(from),
                message,
            },
        )
    }
}

fn propose(command: Command) -> OperatorRequest {
    OperatorRequest::Propose(Proposal {
        id: "op".into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    })
}

fn forget() -> Command {
    Command::ForceRemove {
        members: vec![Address::loopback(9)],
    }
}

/// Proposed without a question to the tail.
fn plan() -> Command {
    Command::plan(br#"{"services":{"a":{}}}"#.to_vec()).expect("a good plan")
}

fn withdraw() -> Command {
    Command::Withdraw {
        zone: "east".into(),
    }
}

/// Of seed 88000550 on `valodu`: the tail was asked twice, and its second answer was given to the operator
/// as the fate of his change.
#[test]
fn a_second_response_about_reachability_is_not_taken_for_one_to_the_removal() {
    let mut played = Played::new(1000);
    assert_eq!(played.propose(30, forget()), [Left::Query(3, 1001)]);
    assert_eq!(played.tick(250), [Left::Query(3, 1001)], "no answer so far");
    assert_eq!(
        played.receive_response(1, 1001),
        [],
        "from one that was not queried"
    );
    assert_eq!(played.receive_response(3, 1001), [Left::Propose(1, 1002)]);
    assert_eq!(
        played.receive_response(3, 1001),
        [],
        "to a query that is answered"
    );
    assert_eq!(
        played.receive_response(3, 1002),
        [],
        "a reading is no answer to a proposal"
    );
    assert_eq!(
        played.respond(3, 1001, true),
        [],
        "nor is a response one to a question"
    );
    assert_eq!(played.respond(3, 1002, true), [Left::Response(30, 200)]);
    assert_eq!(played.respond(3, 1002, true), []);
}

/// Before a zone's change is proposed, the tail says how far it is; an answer that is late may be younger than
/// what its operator has done elsewhere since.
#[test]
fn a_zone_s_change_goes_out_only_with_what_the_tail_said_soon_after_it_came() {
    let newest = |number: u64| {
        let message = Message::QueryResponse {
            number,
            status: 200,
            body: 9u64.to_be_bytes().to_vec(),
        };
        ControllerInput::Message {
            from: Address::loopback(3),
            message,
        }
    };
    let mut played = Played::new(1000);
    assert_eq!(played.propose(30, withdraw()), [Left::Query(3, 1001)]);
    assert_eq!(played.step(600, newest(1001)), [Left::Propose(1, 1002)]);
    assert_eq!(played.step(0, newest(1001)), [], "it is under way");

    let mut played = Played::new(1000);
    assert_eq!(played.propose(30, withdraw()), [Left::Query(3, 1001)]);
    assert_eq!(played.step(700, newest(1001)), [Left::Response(30, 503)]);

    let mut played = Played::new(1000);
    assert_eq!(played.propose(30, withdraw()), [Left::Query(3, 1001)]);
    assert_eq!(
        played.step(10, ControllerInput::Abandoned { number: 30 }),
        []
    );
    assert_eq!(
        played.step(10, newest(1001)),
        [],
        "nobody waits for it any more"
    );
    assert_eq!(played.tick(250), []);
}

/// Guards against starting an order that lay in a suspended process's socket until its operator had given up
/// (docs/incidents/request-read-late.md).
#[test]
fn a_request_whose_operator_may_have_given_up_is_not_started() {
    let operator_timeout = Milliseconds(950);
    let requests = [
        OperatorRequest::Read(Query::Latest),
        propose(plan()),
        propose(withdraw()),
    ];
    for request in requests {
        let mut played = Played::new(1000);
        let arrived_after = MonotonicInstant(played.at) - operator_timeout;
        let age = RequestAge::new(arrived_after, operator_timeout);
        assert_eq!(
            played.receive_request(30, request, age),
            [Left::Response(30, 503)]
        );
        assert_eq!(played.tick(250), []);
    }
}

/// Guards against the same where the operator still waits: what the tail says counts from the order's arrival, however
/// much later the order is read.
#[test]
fn a_zone_s_change_that_was_read_late_goes_out_only_with_what_the_tail_said_soon_after_its_arrival()
{
    let mut played = Played::new(1000);
    let arrived_after = MonotonicInstant(played.at) - Milliseconds(600);
    let age = RequestAge::new(arrived_after, OPERATOR_PATIENCE);
    let query = played.receive_request(30, propose(withdraw()), age);
    assert_eq!(query, [Left::Query(3, 1001)]);
    let newest = Message::QueryResponse {
        number: 1001,
        status: 200,
        body: 9u64.to_be_bytes().to_vec(),
    };
    let from_tail = ControllerInput::Message {
        from: Address::loopback(3),
        message: newest,
    };
    assert_eq!(played.step(150, from_tail), [Left::Response(30, 503)]);
}

/// Operators' numbers begin anew with each process; what comes late for an earlier one is not for this.
#[test]
fn an_answer_to_an_earlier_life_is_not_taken() {
    let mut earlier = Played::new(1000);
    assert_eq!(earlier.read(1), [Left::Query(3, 1001)]);
    assert_eq!(earlier.propose(2, plan()), [Left::Propose(1, 1003)]);

    let mut played = Played::new(5000);
    assert_eq!(played.read(1), [Left::Query(3, 5001)]);
    assert_eq!(played.propose(2, plan()), [Left::Propose(1, 5003)]);
    for late in [1, 2, 1001, 1003] {
        assert_eq!(played.receive_response(3, late), []);
        assert_eq!(played.respond(3, late, true), []);
        assert_eq!(played.respond(1, late, false), []);
    }
    assert_eq!(played.receive_response(3, 5001), [Left::Response(1, 200)]);
    assert_eq!(played.respond(3, 5003, true), [Left::Response(2, 200)]);
}

/// A proposal that was turned away is sent again; what is said twice of the first try ends no later one.
#[test]
fn a_late_word_on_one_try_of_a_proposal_is_none_on_the_next() {
    let mut played = Played::new(0);
    assert_eq!(played.propose(7, plan()), [Left::Propose(1, 2)]);
    assert_eq!(played.respond(1, 2, false), []);
    assert_eq!(played.tick(250), [Left::Propose(1, 3)]);
    played.tick(3800);
    assert_eq!(
        played.respond(1, 2, false),
        [],
        "patience is over, but of the newest try nothing is known"
    );
    assert_eq!(played.respond(3, 3, true), [Left::Response(7, 200)]);
}

/// The day `pahana-cut-off-then-read-back`: a controller that had been cut off held readings for 4 s that their
/// operator gave up after one.
#[test]
fn one_that_is_cut_off_says_so_at_once() {
    let mut played = Played::new(0);
    assert_eq!(
        played.read(1),
        [Left::Query(3, 1)],
        "it has just begun and had no time to hear anyone"
    );
    let left: Vec<Left> = (0..16).flat_map(|_| played.tick(50)).collect();
    assert_eq!(left.last(), Some(&Left::Response(1, 503)));
    assert_eq!(played.read(2), [Left::Response(2, 503)]);
    assert_eq!(
        played.propose(3, withdraw()),
        [Left::Response(3, 503)],
        "and nothing is proposed"
    );
    assert_eq!(played.tick(50), []);
}

#[test]
fn a_reading_that_the_tail_leaves_unanswered_is_given_up_before_its_operator_turns_away() {
    let mut played = Played::new(0);
    assert_eq!(played.read(1), [Left::Query(3, 1)]);
    let mut left = vec![];
    for _ in 0..19 {
        left.extend(played.tick(50));
    }
    assert_eq!(
        left,
        [Left::Query(3, 1), Left::Query(3, 1), Left::Response(1, 503)],
        "within a second"
    );
}

/// One controller alone, its disk at once synced, that goes by this quorum.
struct Alone {
    controller: Controller,
    at: u64,
    /// The members that it has notified of the core's location: when, whom, and with which view.
    called: Vec<(u64, u16, u64)>,
}

impl Alone {
    fn new(quorum: Quorum) -> Self {
        let voter = Voter {
            address: Address::loopback(1),
            disk: DiskId(1),
        };
        let view = View {
            epoch: ViewNumber(1),
            chain: vec![ChainPosition {
                voter,
                is_caught_up: true,
            }],
            voters: vec![voter],
            reserve: vec![],
        };
        let mut timing = ControllerTiming {
            quorum,
            ..ControllerTiming::default()
        };
        timing.replica.min_chain_length = 1;
        let recovered = RecoveredRecords {
            records: vec![Record::View { view }],
        };
        let replica = Replica::new(
            voter,
            vec![],
            timing.replica,
            recovered,
            ConfigStateMachine::default(),
            MonotonicInstant(10_000),
        )
        .unwrap();
        let contacts =
            PeerDiscovery::new(Address::loopback(2), None, vec![], MonotonicInstant(10_000));
        let controller = Controller::new(
            replica,
            contacts,
            timing,
            TokenKey([3; 32]),
            0,
            MonotonicInstant(10_000),
        );
        Alone {
            controller,
            at: 10_000,
            called: vec![],
        }
    }
    /// Takes an input and syncs what it writes; returns the result codes of the responses to operators.
    fn step(&mut self, after: u64, input: ControllerInput) -> Vec<(u64, u64)> {
        self.at += after;
        let (mut inputs, mut responses) = (VecDeque::from([input]), vec![]);
        while let Some(input) = inputs.pop_front() {
            for output in self.controller.step(MonotonicInstant(self.at), input) {
                match output {
                    ControllerOutput::Write { id, .. } => {
                        inputs.push_back(ControllerInput::Written { id });
                    }
                    ControllerOutput::Response { number, body, .. } => {
                        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
                        responses.push((number, body["code"].as_u64().unwrap()));
                    }
                    ControllerOutput::Send {
                        to,
                        message: Message::CoreLocation { location, .. },
                        ..
                    } => {
                        assert_eq!(location.voters, [Address::loopback(1)]);
                        self.called.push((self.at, to.0.port(), location.view.0));
                    }
                    _ => {}
                }
            }
        }
        responses
    }
    fn ticks(&mut self, span: u64) -> Vec<(u64, u64)> {
        (0..span / 50)
            .flat_map(|_| self.step(50, ControllerInput::ClockEvent))
            .collect()
    }
    fn poll(&mut self, from: u16, epoch: u64) -> Vec<(u64, u64)> {
        let member = Member {
            address: Address::loopback(from),
            zone: "east".into(),
        };
        let poll = LeaseRequest {
            member,
            round: 1,
            epoch: ConfigEpoch(epoch),
            view: ViewNumber(1),
            has_key: true,
            reachable_peers: vec![],
        };
        let message = Message::LeaseRequest {
            request: Box::new(poll),
        };
        self.step(
            5,
            ControllerInput::Message {
                from: Address::loopback(from),
                message,
            },
        )
    }
    fn withdraw(&mut self, number: u64) -> Vec<(u64, u64)> {
        let proposal = Proposal {
            id: format!("op-{number}"),
            builds_on: None,
            seen: ConfigEpoch(0),
            command: withdraw(),
        };
        self.step(
            5,
            ControllerInput::Operator {
                number,
                request: OperatorRequest::Propose(proposal),
                age: self.age(),
            },
        )
    }
    /// Of a request that arrives now.
    fn age(&self) -> RequestAge {
        RequestAge::new(MonotonicInstant(self.at), OPERATOR_PATIENCE)
    }
    fn epoch(&self) -> u64 {
        self.controller.replica().state_machine().epoch.0
    }
}

/// A newcomer's first lease comes right after the change that let it in, before it polls again.
#[test]
fn holders_are_waited_for_from_their_first_lease_on() {
    let mut played = Alone::new(Quorum::Holders);
    played.ticks(3000);
    played.poll(9, 0);
    played.ticks(100);
    let is_held = |played: &Alone| {
        !played
            .controller
            .members(MonotonicInstant(played.at))
            .is_empty()
    };
    assert!(is_held(&played), "it was let in and given a lease");
    assert_eq!(played.withdraw(1), []);
    assert_eq!(
        played.ticks(300),
        [],
        "the one that holds a lease has not said that it knows"
    );
    let epoch = played.epoch();
    assert_eq!(played.poll(9, epoch), [(1, 300)]);
    assert_eq!(played.withdraw(2), []);
    assert_eq!(played.ticks(1500), []);
    assert_eq!(played.ticks(700), [(2, 300)], "its lease has run out");
}

/// A member that restarted and whose seeds are all gone can't request the location: the tail notifies such members, a
/// few at a time.
#[test]
fn members_without_a_lease_are_notified_of_the_core_s_location() {
    let mut played = Alone::new(Quorum::Holders);
    played.ticks(3000);
    (100..140).for_each(|member| drop(played.poll(member, 0)));
    played.ticks(1500);
    (100..140).for_each(|member| drop(played.poll(member, played.epoch())));
    assert_eq!(played.called, [], "all hold leases");
    let unreachable_from = played.at;
    for _ in 0..12 {
        played.ticks(500);
        played.poll(105, played.epoch());
    }
    let called: std::collections::BTreeSet<u16> =
        played.called.iter().map(|(_, member, _)| *member).collect();
    assert_eq!(called, (100..140).filter(|member| *member != 105).collect());
    assert!(
        played
            .called
            .iter()
            .all(|(at, _, view)| *at >= unreachable_from + 1900 && *view == 1)
    );
    for (at, ..) in &played.called {
        let in_a_second = played
            .called
            .iter()
            .filter(|(other, ..)| (*at..*at + 1000).contains(other))
            .count();
        assert!(in_a_second <= 16, "{in_a_second} in a second");
    }
}

fn credit_request(number: u64) -> Message {
    use quota::{Amount, CreditRequest, QuotaLimit, TenantCreditRequest};
    let limit = QuotaLimit {
        rate: Amount::units(10),
        burst: Amount::units(10),
    };
    let (held, need) = (Amount::NONE, Amount::units(2));
    let entry = TenantCreditRequest {
        tenant: "one".into(),
        limit,
        available: held,
        required: need,
        requested: need,
    };
    let request = CreditRequest {
        incarnation: 7,
        number,
        plan_epoch: ConfigEpoch(1),
        since_start: None,
        is_complete: true,
        entries: vec![entry],
    };
    Message::CreditRequest {
        request: Box::new(request),
    }
}

fn granted(outputs: Vec<ControllerOutput>) -> Vec<u64> {
    let grants = outputs.into_iter().filter_map(|output| match output {
        ControllerOutput::Send {
            message: Message::CreditGrant { grant },
            ..
        } => Some(grant),
        _ => None,
    });
    grants
        .map(|grant| grant.entries[0].granted.thousandths / 1000)
        .collect()
}

#[test]
fn the_tail_grants_credit_and_shows_the_tenants() {
    let mut played = Alone::new(Quorum::Holders);
    played.ticks(3000);
    played.poll(9, 0);
    played.ticks(100);
    let request = |played: &mut Alone, number: u64| {
        let input = ControllerInput::Message {
            from: Address::loopback(9),
            message: credit_request(number),
        };
        granted(played.controller.step(MonotonicInstant(played.at), input))
    };
    // It has just begun to grant: what was spent before isn't known.
    assert_eq!(request(&mut played, 1), [0]);
    played.ticks(9000);
    assert_eq!(request(&mut played, 2), [2]);
    assert_eq!(
        request(&mut played, 2),
        [] as [u64; 0],
        "the same request, late"
    );
    let shown = played.controller.tenants();
    assert_eq!(shown["tenants"][0]["tenant"], "one");
    assert_eq!(shown["tenants"][0]["outstanding"]["thousandths"], 2000);
}

#[test]
fn a_controller_that_is_not_the_tail_grants_nothing() {
    let mut played = Played::new(0);
    let input = ControllerInput::Message {
        from: Address::loopback(9),
        message: credit_request(1),
    };
    assert_eq!(
        granted(played.controller.step(MonotonicInstant(played.at), input)),
        [] as [u64; 0]
    );
}

/// Between two views that follow each other no other tail can have granted anything; between others one can.
#[test]
fn what_is_known_of_credit_lasts_while_no_other_tail_comes_between() {
    let mut played = Alone::new(Quorum::Holders);
    played.ticks(3000);
    let me = played.controller.replica().me();
    let view = |epoch: u64, tail: Voter| View {
        epoch: ViewNumber(epoch),
        chain: vec![ChainPosition {
            voter: tail,
            is_caught_up: true,
        }],
        voters: vec![tail],
        reserve: vec![],
    };
    assert!(played.controller.quotas.is_some());
    played.controller.keep_quotas(&view(2, me));
    assert!(played.controller.quotas.is_some());
    played.controller.keep_quotas(&view(4, me));
    assert!(played.controller.quotas.is_none());
    played.controller.begin_quotas();
    let other = Voter {
        address: Address::loopback(5),
        disk: DiskId(5),
    };
    played.controller.keep_quotas(&view(2, other));
    assert!(played.controller.quotas.is_none());
}
