use crate::relay::{Relay, RelayInput};
use types::{Address, Epoch, Moment, Span, ViewEpoch};
use wire::{ControllerContact, CoreLocation, Letter, Member, Poll, PollResponse};

fn at(port: u16) -> Address {
    Address::loopback(port)
}

fn poll(from: u16) -> RelayInput {
    let member = Member {
        address: at(from),
        zone: "east".into(),
    };
    let poll = Poll {
        member,
        round: 12,
        epoch: Epoch(0),
        view: ViewEpoch(0),
        has_key: false,
        hears: vec![],
    };
    RelayInput::Letter {
        from: at(from),
        letter: Letter::Poll {
            poll: Box::new(poll),
        },
    }
}

fn location(view: u64, voters: Vec<Address>) -> RelayInput {
    let controllers = vec![ControllerContact {
        inner: at(1),
        admin: at(51),
        age: Span(0),
    }];
    let location = Box::new(CoreLocation {
        view: ViewEpoch(view),
        voters,
        controllers,
    });
    RelayInput::Letter {
        from: at(1),
        letter: Letter::CoreLocation {
            location,
            is_answer: true,
        },
    }
}

/// Of the day new-seeds-then-all-killed: nodes that restarted polled controllers without a disk for ever.
#[test]
fn a_node_that_polls_is_told_where_the_core_is_once_that_is_known() {
    let now = Moment(100_000);
    let mut relay = Relay::new(at(9), vec![at(8)], now);
    assert_eq!(
        relay.step(now, poll(2001)),
        [],
        "silence has the node ask the next seed"
    );
    assert_eq!(relay.step(now, location(3, vec![at(1), at(2)])), []);
    let response = PollResponse::Elsewhere {
        view: ViewEpoch(3),
        tail: None,
        voters: vec![at(1), at(2)],
    };
    let letter = Letter::PollResponse {
        round: 12,
        response: Box::new(response),
    };
    assert_eq!(relay.step(now, poll(2001)), [(at(2001), letter)]);
    assert_eq!(relay.admin_addresses(now), [at(51)]);
}

#[test]
fn it_asks_its_seeds_and_heeds_new_ones_at_once() {
    let now = Moment(100_000);
    let mut relay = Relay::new(at(9), vec![at(8)], now);
    let asked =
        |letters: Vec<(Address, Letter)>| letters.into_iter().map(|(to, _)| to).collect::<Vec<_>>();
    assert_eq!(asked(relay.step(now, RelayInput::ClockEvent)), [at(8)]);
    assert_eq!(
        asked(relay.step(now + Span(50), RelayInput::Seeds(vec![at(8)]))),
        []
    );
    assert_eq!(
        asked(relay.step(now + Span(60), RelayInput::Seeds(vec![at(7), at(6)]))),
        [at(7), at(6)]
    );
    assert!(relay.next_timer() <= now + Span(310));
}
