//! Each message between our processes against its golden bytes, so that builds of before and after understand each
//! other: the sealed letter, head and body. `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use placement::{DigestChange, ServerEntry};
use quota::{Amount, CreditAsk, CreditGrant, CreditRequest, QuotaLimit, TenantGrant};
use replication::{Ballot, Change, Note, Round, Seat, Ticket, View, Voter};
use types::{
    Address, DiskId, Epoch, Seq, ServerName, Span, Splice, TenantName, TokenKey, ViewEpoch,
    ZoneName,
};
use wire::{
    ControllerContact, CoreLocation, DigestLeg, Letter, ListChange, ListPiece, ListState,
    ListVersion, Member, News, Poll, PollResponse, Reading, open, seal,
};

variant_names!(ALL_LETTERS, letter_name(Letter) {
    Letter::Note { .. } => "Note",
    Letter::Poll { .. } => "Poll",
    Letter::PollResponse { .. } => "PollResponse",
    Letter::PlanAsk { .. } => "PlanAsk",
    Letter::PlanSplice { .. } => "PlanSplice",
    Letter::PlanPiece { .. } => "PlanPiece",
    Letter::News { .. } => "News",
    Letter::NewsAsk => "NewsAsk",
    Letter::PeerCheckRequest { .. } => "PeerCheckRequest",
    Letter::PeerCheckResponse { .. } => "PeerCheckResponse",
    Letter::Digest { .. } => "Digest",
    Letter::DigestAck { .. } => "DigestAck",
    Letter::ListFresh { .. } => "ListFresh",
    Letter::ListChange { .. } => "ListChange",
    Letter::ListAsk { .. } => "ListAsk",
    Letter::ListPiece { .. } => "ListPiece",
    Letter::Ask { .. } => "Ask",
    Letter::Told { .. } => "Told",
    Letter::CreditAsk { .. } => "CreditAsk",
    Letter::CreditGrant { .. } => "CreditGrant",
    Letter::CoreLocation { .. } => "CoreLocation",
});

variant_names!(ALL_NOTES, note_name(Note) {
    Note::Beat { .. } => "Beat",
    Note::Prepare { .. } => "Prepare",
    Note::Promise { .. } => "Promise",
    Note::Accept { .. } => "Accept",
    Note::Accepted { .. } => "Accepted",
    Note::Outdone { .. } => "Outdone",
    Note::Decided { .. } => "Decided",
    Note::LeaseAsk { .. } => "LeaseAsk",
    Note::LeaseGrant { .. } => "LeaseGrant",
    Note::Pass { .. } => "Pass",
    Note::Level { .. } => "Level",
    Note::Follow { .. } => "Follow",
    Note::Feed { .. } => "Feed",
    Note::SnapshotOffer { .. } => "SnapshotOffer",
    Note::SnapshotAsk { .. } => "SnapshotAsk",
    Note::SnapshotPiece { .. } => "SnapshotPiece",
    Note::Propose { .. } => "Propose",
    Note::Response { .. } => "Response",
    Note::Judge { .. } => "Judge",
    Note::Leaving { .. } => "Leaving",
});

variant_names!(ALL_READINGS, reading_name(Reading) {
    Reading::Latest => "Latest",
    Reading::Base { .. } => "Base",
    Reading::Epoch { .. } => "Epoch",
    Reading::Heard { .. } => "Heard",
    Reading::Fate { .. } => "Fate",
    Reading::Newest => "Newest",
    Reading::Tenants => "Tenants",
});

variant_names!(ALL_POLL_RESPONSES, poll_response_name(PollResponse) {
    PollResponse::Elsewhere { .. } => "Elsewhere",
    PollResponse::Lease { .. } => "Lease",
});

variant_names!(ALL_LEGS, leg_name(DigestLeg) {
    DigestLeg::Report => "Report",
    DigestLeg::Zone => "Zone",
    DigestLeg::Fleet => "Fleet",
});

fn voter(port: u16) -> Voter {
    Voter {
        address: Address::loopback(port),
        disk: DiskId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f00 + u128::from(port)),
    }
}

fn view() -> View {
    let seat = |port: u16, is_level: bool| Seat {
        voter: voter(port),
        is_level,
    };
    View {
        epoch: ViewEpoch(7),
        chain: vec![seat(7101, true), seat(7102, true), seat(7103, false)],
        voters: vec![voter(7101), voter(7102), voter(7103)],
    }
}

fn round() -> Round {
    Round {
        count: 3,
        proposer: 0xfeed_0000_0000_0000_0000_0000_0000_beef,
    }
}

fn ballot() -> Ballot {
    Ballot {
        round: round(),
        view: view(),
    }
}

fn ticket() -> Ticket {
    Ticket {
        origin: Address::loopback(7104),
        number: 0x1122_3344_5566_7788,
    }
}

fn change(seq: u64) -> Change {
    Change {
        seq: Seq(seq),
        stamp: ViewEpoch(7),
        ticket: ticket(),
        body: b"the body of a change".to_vec(),
    }
}

fn notes() -> Vec<Note> {
    let disk = DiskId(0xabcd);
    vec![
        Note::Beat {
            disk,
            view: ViewEpoch(7),
            last: Seq(12),
            stamp: ViewEpoch(6),
            replied: Seq(11),
            is_level: true,
            is_sound: false,
            has_members: false,
        },
        Note::Beat {
            disk,
            view: ViewEpoch(7),
            last: Seq(12),
            stamp: ViewEpoch(6),
            replied: Seq(11),
            is_level: false,
            is_sound: true,
            has_members: false,
        },
        Note::Prepare {
            instance: ViewEpoch(8),
            round: round(),
        },
        Note::Promise {
            instance: ViewEpoch(8),
            round: round(),
            disk,
            accepted: Some(ballot()),
        },
        Note::Promise {
            instance: ViewEpoch(8),
            round: round(),
            disk,
            accepted: None,
        },
        Note::Accept { ballot: ballot() },
        Note::Accepted {
            instance: ViewEpoch(8),
            round: round(),
            disk,
        },
        Note::Outdone {
            instance: ViewEpoch(8),
            promised: round(),
        },
        Note::Decided { view: view() },
        Note::LeaseAsk {
            view: ViewEpoch(7),
            round: 41,
        },
        Note::LeaseGrant {
            view: ViewEpoch(7),
            round: 41,
            disk,
        },
        Note::Pass {
            view: ViewEpoch(7),
            change: change(13),
        },
        Note::Level {
            view: ViewEpoch(7),
            last: Seq(13),
        },
        Note::Follow {
            disk,
            last: Seq(9),
            stamp: ViewEpoch(5),
        },
        Note::Feed {
            changes: vec![change(10), change(11)],
        },
        Note::SnapshotOffer {
            last: Seq(20),
            stamp: ViewEpoch(6),
            length: 4096,
        },
        Note::SnapshotAsk {
            last: Seq(20),
            offset: 1024,
        },
        Note::SnapshotPiece {
            last: Seq(20),
            stamp: ViewEpoch(6),
            offset: 1024,
            length: 4096,
            bytes: b"a piece of a snapshot".to_vec(),
        },
        Note::Propose {
            ticket: ticket(),
            body: b"a proposal".to_vec(),
        },
        Note::Response {
            number: 99,
            is_replied: true,
            body: b"an answer".to_vec(),
        },
        Note::Judge {
            view: ViewEpoch(7),
            ticket: ticket(),
            last: Seq(13),
            body: b"a proposal".to_vec(),
        },
        Note::Leaving { disk },
    ]
}

fn member(port: u16, zone: &str) -> Member {
    Member {
        address: Address::loopback(port),
        zone: ZoneName::from(zone),
    }
}

fn news(members: Option<Vec<Member>>) -> News {
    News {
        epoch: Epoch(31),
        plan_epoch: Epoch(29),
        withdrawn: vec![ZoneName::from("north"), ZoneName::from("a-longer-zone")],
        members,
        members_since: Epoch(17),
    }
}

fn poll_responses() -> Vec<PollResponse> {
    vec![
        PollResponse::Elsewhere {
            view: ViewEpoch(7),
            tail: Some(Address::loopback(7103)),
            voters: vec![Address::loopback(7101), Address::loopback(7103)],
        },
        PollResponse::Elsewhere {
            view: ViewEpoch(0),
            tail: None,
            voters: vec![],
        },
        PollResponse::Lease {
            span: Span(6000),
            epoch: Epoch(31),
            news: Some(news(Some(vec![
                member(7201, "north"),
                member(7202, "a-longer-zone"),
            ]))),
            view: ViewEpoch(7),
            voters: vec![Address::loopback(7101)],
            key: Some(TokenKey([0x5a; 32])),
        },
        PollResponse::Lease {
            span: Span(6000),
            epoch: Epoch(31),
            news: None,
            view: ViewEpoch(7),
            voters: vec![],
            key: None,
        },
    ]
}

fn readings() -> Vec<Reading> {
    vec![
        Reading::Latest,
        Reading::Base {
            at_least: Epoch(30),
        },
        Reading::Epoch { epoch: Epoch(12) },
        Reading::Heard {
            id: "forget-the-lost-1".into(),
            members: vec![Address::loopback(7201), Address::loopback(7202)],
        },
        Reading::Fate {
            id: "change-4711".into(),
        },
        Reading::Newest,
        Reading::Tenants,
    ]
}

fn server_entries() -> Vec<ServerEntry> {
    vec![
        ServerEntry {
            server: ServerName::from("model-0.life-3"),
            address: Some("127.0.0.1:8101".into()),
            slots: Some(16),
            cold_left: Some(Span(2500)),
            zone: ZoneName::from("north"),
            pool: "model".into(),
            is_leaving: false,
        },
        ServerEntry {
            server: ServerName::from("127.0.0.1:8102"),
            address: None,
            slots: None,
            cold_left: None,
            zone: ZoneName::from("a-longer-zone"),
            pool: "app".into(),
            is_leaving: true,
        },
    ]
}

fn list_state() -> ListState {
    ListState {
        version: ListVersion {
            life: 0x0011_2233_4455_6677,
            number: 5,
        },
        check: 0x8899_aabb_ccdd_eeff,
        cold: Span(1200),
        age: Span(345),
    }
}

fn digest_change() -> DigestChange {
    DigestChange {
        hot: vec![0x1111_2222_3333_4444, 2],
        hot_counts: vec![3, 4],
        loads: vec![5, 6],
        load_counts: vec![7, 0],
        unread: vec![8],
        unread_counts: vec![9],
        memory: vec![10],
        memory_counts: vec![11],
        held: vec![12, 13],
        held_by: vec![14, 15],
        held_counts: vec![16, 17],
        leaving: vec![18],
        leaving_counts: vec![19],
        missing: vec![Address::loopback(7203)],
    }
}

fn amount(thousandths: u64) -> Amount {
    Amount { thousandths }
}

fn credit_ask(fresh_for: Option<Span>) -> CreditAsk {
    CreditAsk {
        life: 77,
        number: 8,
        plan_epoch: Epoch(29),
        fresh_for,
        is_whole: fresh_for.is_some(),
        entries: vec![CreditRequest {
            tenant: TenantName::from("acme"),
            limit: QuotaLimit {
                rate: amount(20_000),
                burst: amount(40_500),
            },
            held: amount(1000),
            need: amount(2000),
            want: amount(3000),
        }],
    }
}

fn letters() -> Vec<Letter> {
    let mut letters: Vec<Letter> = notes()
        .into_iter()
        .map(|note| Letter::Note {
            note: Box::new(note),
        })
        .collect();
    letters.push(Letter::Poll {
        poll: Box::new(Poll {
            member: member(7201, "north"),
            round: 6,
            epoch: Epoch(30),
            view: ViewEpoch(7),
            has_key: true,
            hears: vec![
                Address::loopback(7202),
                "[::1]:7203".parse().expect("an address"),
            ],
        }),
    });
    letters.extend(
        poll_responses()
            .into_iter()
            .map(|response| Letter::PollResponse {
                round: 6,
                response: Box::new(response),
            }),
    );
    letters.extend(letters_of_plans());
    letters.extend(letters_of_peers());
    letters.extend(letters_of_lists());
    letters.extend(readings().into_iter().map(|reading| Letter::Ask {
        number: 51,
        reading: Box::new(reading),
    }));
    letters.push(Letter::Told {
        number: 51,
        status: 404,
        body: br#"{"code":305}"#.to_vec(),
    });
    letters.extend([None, Some(Span(1234))].map(|fresh_for| Letter::CreditAsk {
        ask: Box::new(credit_ask(fresh_for)),
    }));
    letters.push(Letter::CreditGrant {
        grant: Box::new(CreditGrant {
            number: 8,
            life: Span(4000),
            wants_whole: true,
            entries: vec![TenantGrant {
                tenant: TenantName::from("acme"),
                granted: amount(2500),
                wait: Span(750),
            }],
        }),
    });
    letters.push(Letter::CoreLocation {
        location: Box::new(CoreLocation {
            view: ViewEpoch(7),
            voters: vec![Address::loopback(7101), Address::loopback(7102)],
            controllers: vec![ControllerContact {
                inner: Address::loopback(7101),
                admin: Address::loopback(7301),
                age: Span(88),
            }],
        }),
        is_answer: true,
    });
    letters
}

fn letters_of_plans() -> Vec<Letter> {
    vec![
        Letter::PlanAsk {
            epoch: Epoch(29),
            offset: 262_144,
            have: Epoch(28),
        },
        Letter::PlanSplice {
            epoch: Epoch(29),
            base: Epoch(28),
            splice: Splice {
                start: 12,
                removed: 3,
                inserted: b"16".to_vec(),
            },
        },
        Letter::PlanPiece {
            epoch: Epoch(29),
            offset: 5,
            length: 99,
            bytes: b"a piece of a plan".to_vec(),
        },
        Letter::News {
            news: Box::new(news(Some(vec![member(7201, "north")]))),
        },
        Letter::News {
            news: Box::new(news(None)),
        },
        Letter::NewsAsk,
    ]
}

fn letters_of_peers() -> Vec<Letter> {
    let legs = [DigestLeg::Report, DigestLeg::Zone, DigestLeg::Fleet];
    let mut letters = vec![
        Letter::PeerCheckRequest {
            round: 21,
            epoch: Epoch(31),
        },
        Letter::PeerCheckResponse {
            echo: 21,
            epoch: Epoch(30),
        },
    ];
    for leg in legs {
        letters.push(Letter::Digest {
            leg,
            life: 1001,
            number: 4,
            is_whole: leg == DigestLeg::Zone,
            change: Box::new(digest_change()),
        });
        letters.push(Letter::DigestAck { leg, number: 4 });
    }
    letters
}

fn letters_of_lists() -> Vec<Letter> {
    vec![
        Letter::ListFresh {
            state: list_state(),
        },
        Letter::ListChange {
            change: Box::new(ListChange {
                state: list_state(),
                base: ListVersion {
                    life: 0x0011_2233_4455_6677,
                    number: 4,
                },
                set: server_entries(),
                gone: vec![ServerName::from("127.0.0.1:8103")],
            }),
        },
        Letter::ListAsk {
            version: list_state().version,
            offset: 300,
        },
        Letter::ListPiece {
            piece: Box::new(ListPiece {
                state: list_state(),
                offset: 300,
                length: 302,
                entries: server_entries(),
            }),
        },
    ]
}

fn sender() -> Address {
    "10.1.2.3:7109".parse().expect("an address")
}

#[test]
fn each_letter_has_its_golden_bytes_and_they_open_to_it() {
    let letters = letters();
    let sealed: Vec<(&str, Vec<u8>)> = letters
        .iter()
        .map(|letter| {
            let bytes = seal(sender(), letter).expect("it can be sealed");
            (letter_name(letter), bytes)
        })
        .collect();
    golden_file::compare_entries("letters.txt", &sealed);
    let golden = golden_file::read_entries("letters.txt");
    assert_eq!(golden.len(), letters.len());
    for ((name, bytes), letter) in golden.iter().zip(&letters) {
        let opened = open(&mut &bytes[..]).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(opened, (sender(), letter.clone()), "{name}");
    }
}

#[test]
fn each_variant_of_what_is_sent_has_a_golden_example() {
    golden_file::check_all_named(ALL_LETTERS, letters().iter().map(letter_name));
    golden_file::check_all_named(ALL_NOTES, notes().iter().map(note_name));
    golden_file::check_all_named(ALL_READINGS, readings().iter().map(reading_name));
    golden_file::check_all_named(
        ALL_POLL_RESPONSES,
        poll_responses().iter().map(poll_response_name),
    );
    let letters = letters();
    let legs = letters.iter().filter_map(|letter| match letter {
        Letter::Digest { leg, .. } => Some(leg_name(leg)),
        _ => None,
    });
    golden_file::check_all_named(ALL_LEGS, legs);
}
