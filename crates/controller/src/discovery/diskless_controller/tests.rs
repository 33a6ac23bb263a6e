use crate::discovery::diskless_controller::{DisklessController, DisklessControllerInput};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, ViewNumber};
use wire::{ControllerContact, CoreLocation, LeaseRequest, LeaseResponse, Member, Message};

fn at(port: u16) -> Address {
    Address::loopback(port)
}

fn poll(from: u16) -> DisklessControllerInput {
    let member = Member {
        address: at(from),
        zone: "east".into(),
    };
    let poll = LeaseRequest {
        member,
        round: 12,
        epoch: ConfigEpoch(0),
        view: ViewNumber(0),
        has_key: false,
        reachable_peers: vec![],
    };
    DisklessControllerInput::Message {
        from: at(from),
        message: Message::LeaseRequest {
            request: Box::new(poll),
        },
    }
}

fn location(view: u64, voters: Vec<Address>) -> DisklessControllerInput {
    let controllers = vec![ControllerContact {
        inner: at(1),
        admin: at(51),
        age: Milliseconds(0),
    }];
    let location = Box::new(CoreLocation {
        view: ViewNumber(view),
        voters,
        controllers,
    });
    DisklessControllerInput::Message {
        from: at(1),
        message: Message::CoreLocation {
            location,
            is_response: true,
        },
    }
}

/// Of the day new-seeds-then-all-killed: nodes that restarted polled controllers without a disk for ever.
#[test]
fn a_node_that_polls_gets_the_core_s_location_once_that_is_known() {
    let now = MonotonicInstant(100_000);
    let mut relay = DisklessController::new(at(9), vec![at(8)], now);
    assert_eq!(
        relay.step(now, poll(2001)),
        [],
        "silence has the node ask the next seed"
    );
    assert_eq!(relay.step(now, location(3, vec![at(1), at(2)])), []);
    let response = LeaseResponse::Elsewhere {
        view: ViewNumber(3),
        tail: None,
        voters: vec![at(1), at(2)],
    };
    let message = Message::LeaseResponse {
        round: 12,
        response: Box::new(response),
    };
    assert_eq!(relay.step(now, poll(2001)), [(at(2001), message)]);
    assert_eq!(relay.admin_addresses(now), [at(51)]);
}

#[test]
fn seeds_are_queried_and_new_ones_at_once() {
    let now = MonotonicInstant(100_000);
    let mut relay = DisklessController::new(at(9), vec![at(8)], now);
    let attempt = |messages: Vec<(Address, Message)>| {
        messages.into_iter().map(|(to, _)| to).collect::<Vec<_>>()
    };
    assert_eq!(
        attempt(relay.step(now, DisklessControllerInput::ClockEvent)),
        [at(8)]
    );
    assert_eq!(
        attempt(relay.step(
            now + Milliseconds(50),
            DisklessControllerInput::Seeds(vec![at(8)])
        )),
        []
    );
    assert_eq!(
        attempt(relay.step(
            now + Milliseconds(60),
            DisklessControllerInput::Seeds(vec![at(7), at(6)])
        )),
        [at(7), at(6)]
    );
    assert!(relay.next_timer() <= now + Milliseconds(310));
}
