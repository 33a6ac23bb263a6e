//! Each message between our processes against its golden bytes, so that builds of before and after understand each
//! other: the sealed letter, head and body. `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use placement::{DigestChange, ServerEntry};
use quota::{
    Amount, CreditGrant, CreditRequest, QuotaLimit, TenantCreditGrant, TenantCreditRequest,
};
use replication::{
    ChainPosition, Change, ChangeRequestId, ProposalNumber, ReplicationMessage, View, ViewProposal,
    Voter,
};
use types::{
    Address, ConfigEpoch, Delta, DiskId, Milliseconds, SequenceNumber, ServerName, TenantName,
    TokenKey, ViewNumber, ZoneName,
};
use wire::{
    ConfigUpdate, ControllerContact, CoreLocation, DigestLeg, LeaseRequest, LeaseResponse, Member,
    Message, Query, ServerListChange, ServerListChunk, ServerListState, ServerListVersion, open,
    seal,
};

variant_names!(ALL_LETTERS, letter_name(Message) {
    Message::Replication { .. } => "Note",
    Message::LeaseRequest { .. } => "Poll",
    Message::LeaseResponse { .. } => "PollResponse",
    Message::PlanRequest { .. } => "PlanAsk",
    Message::PlanDelta { .. } => "PlanSplice",
    Message::PlanChunk { .. } => "PlanPiece",
    Message::ConfigUpdate { .. } => "News",
    Message::ConfigUpdateRequest => "NewsAsk",
    Message::PeerCheckRequest { .. } => "PeerCheckRequest",
    Message::PeerCheckResponse { .. } => "PeerCheckResponse",
    Message::Digest { .. } => "Digest",
    Message::DigestAck { .. } => "DigestAck",
    Message::ServerListUnchanged { .. } => "ListFresh",
    Message::ServerListChange { .. } => "ListChange",
    Message::ServerListRequest { .. } => "ListAsk",
    Message::ServerListChunk { .. } => "ListPiece",
    Message::QueryRequest { .. } => "Ask",
    Message::QueryResponse { .. } => "Told",
    Message::CreditRequest { .. } => "CreditAsk",
    Message::CreditGrant { .. } => "CreditGrant",
    Message::CoreLocation { .. } => "CoreLocation",
});

variant_names!(ALL_NOTES, note_name(ReplicationMessage) {
    ReplicationMessage::Heartbeat { .. } => "Beat",
    ReplicationMessage::Prepare { .. } => "Prepare",
    ReplicationMessage::Promise { .. } => "Promise",
    ReplicationMessage::Accept { .. } => "Accept",
    ReplicationMessage::Accepted { .. } => "Accepted",
    ReplicationMessage::ProposalRejected { .. } => "Outdone",
    ReplicationMessage::Decided { .. } => "Decided",
    ReplicationMessage::LeaseRequest { .. } => "LeaseAsk",
    ReplicationMessage::LeaseGrant { .. } => "LeaseGrant",
    ReplicationMessage::Forward { .. } => "Pass",
    ReplicationMessage::CatchUpTarget { .. } => "Level",
    ReplicationMessage::CatchUpRequest { .. } => "Follow",
    ReplicationMessage::CatchUpBatch { .. } => "Feed",
    ReplicationMessage::SnapshotOffer { .. } => "SnapshotOffer",
    ReplicationMessage::SnapshotRequest { .. } => "SnapshotAsk",
    ReplicationMessage::SnapshotChunk { .. } => "SnapshotPiece",
    ReplicationMessage::Propose { .. } => "Propose",
    ReplicationMessage::Response { .. } => "Response",
    ReplicationMessage::ConfirmRejection { .. } => "Judge",
    ReplicationMessage::Draining { .. } => "Leaving",
});

variant_names!(ALL_READINGS, reading_name(Query) {
    Query::Latest => "Latest",
    Query::Base { .. } => "Base",
    Query::AcceptedCommand { .. } => "Epoch",
    Query::Reachability { .. } => "Heard",
    Query::CommandStatus { .. } => "Fate",
    Query::Newest => "Newest",
    Query::Tenants => "Tenants",
});

variant_names!(ALL_POLL_RESPONSES, poll_response_name(LeaseResponse) {
    LeaseResponse::Elsewhere { .. } => "Elsewhere",
    LeaseResponse::Lease { .. } => "Lease",
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
    let position = |port: u16, is_caught_up: bool| ChainPosition {
        voter: voter(port),
        is_caught_up,
    };
    View {
        epoch: ViewNumber(7),
        chain: vec![
            position(7101, true),
            position(7102, true),
            position(7103, false),
        ],
        voters: vec![voter(7101), voter(7102), voter(7103)],
        reserve: vec![],
    }
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber {
        count: 3,
        proposer: 0xfeed_0000_0000_0000_0000_0000_0000_beef,
    }
}

fn proposal() -> ViewProposal {
    ViewProposal {
        proposal_number: proposal_number(),
        view: view(),
    }
}

fn request_id() -> ChangeRequestId {
    ChangeRequestId {
        origin: Address::loopback(7104),
        number: 0x1122_3344_5566_7788,
    }
}

fn change(seq: u64) -> Change {
    Change {
        seq: SequenceNumber(seq),
        origin_view: ViewNumber(7),
        request_id: request_id(),
        body: b"the body of a change".to_vec(),
    }
}

fn notes() -> Vec<ReplicationMessage> {
    let disk = DiskId(0xabcd);
    vec![
        ReplicationMessage::Heartbeat {
            disk,
            view: ViewNumber(7),
            last: SequenceNumber(12),
            origin_view: ViewNumber(6),
            commit_index: SequenceNumber(11),
            is_caught_up: true,
            is_healthy: false,
            has_member_majority: false,
        },
        ReplicationMessage::Heartbeat {
            disk,
            view: ViewNumber(7),
            last: SequenceNumber(12),
            origin_view: ViewNumber(6),
            commit_index: SequenceNumber(11),
            is_caught_up: false,
            is_healthy: true,
            has_member_majority: false,
        },
        ReplicationMessage::Prepare {
            instance: ViewNumber(8),
            proposal_number: proposal_number(),
        },
        ReplicationMessage::Promise {
            instance: ViewNumber(8),
            proposal_number: proposal_number(),
            disk,
            accepted: Some(proposal()),
        },
        ReplicationMessage::Promise {
            instance: ViewNumber(8),
            proposal_number: proposal_number(),
            disk,
            accepted: None,
        },
        ReplicationMessage::Accept {
            proposal: proposal(),
        },
        ReplicationMessage::Accepted {
            instance: ViewNumber(8),
            proposal_number: proposal_number(),
            disk,
        },
        ReplicationMessage::ProposalRejected {
            instance: ViewNumber(8),
            promised: proposal_number(),
        },
        ReplicationMessage::Decided { view: view() },
        ReplicationMessage::LeaseRequest {
            view: ViewNumber(7),
            request_number: 41,
        },
        ReplicationMessage::LeaseGrant {
            view: ViewNumber(7),
            request_number: 41,
            disk,
        },
        ReplicationMessage::Forward {
            view: ViewNumber(7),
            change: change(13),
        },
        ReplicationMessage::CatchUpTarget {
            view: ViewNumber(7),
            last: SequenceNumber(13),
        },
        ReplicationMessage::CatchUpRequest {
            disk,
            last: SequenceNumber(9),
            origin_view: ViewNumber(5),
        },
        ReplicationMessage::CatchUpBatch {
            changes: vec![change(10), change(11)],
        },
        ReplicationMessage::SnapshotOffer {
            last: SequenceNumber(20),
            origin_view: ViewNumber(6),
            length: 4096,
        },
        ReplicationMessage::SnapshotRequest {
            last: SequenceNumber(20),
            offset: 1024,
        },
        ReplicationMessage::SnapshotChunk {
            last: SequenceNumber(20),
            origin_view: ViewNumber(6),
            offset: 1024,
            length: 4096,
            bytes: b"a piece of a snapshot".to_vec(),
        },
        ReplicationMessage::Propose {
            request_id: request_id(),
            body: b"a proposal".to_vec(),
        },
        ReplicationMessage::Response {
            number: 99,
            is_final: true,
            body: b"an answer".to_vec(),
        },
        ReplicationMessage::ConfirmRejection {
            view: ViewNumber(7),
            request_id: request_id(),
            last: SequenceNumber(13),
            body: b"a proposal".to_vec(),
        },
        ReplicationMessage::Draining { disk },
    ]
}

fn member(port: u16, zone: &str) -> Member {
    Member {
        address: Address::loopback(port),
        zone: ZoneName::from(zone),
    }
}

fn update(members: Option<Vec<Member>>) -> ConfigUpdate {
    ConfigUpdate {
        epoch: ConfigEpoch(31),
        plan_epoch: ConfigEpoch(29),
        withdrawn: vec![ZoneName::from("north"), ZoneName::from("a-longer-zone")],
        members,
        members_since: ConfigEpoch(17),
    }
}

fn poll_responses() -> Vec<LeaseResponse> {
    vec![
        LeaseResponse::Elsewhere {
            view: ViewNumber(7),
            tail: Some(Address::loopback(7103)),
            voters: vec![Address::loopback(7101), Address::loopback(7103)],
        },
        LeaseResponse::Elsewhere {
            view: ViewNumber(0),
            tail: None,
            voters: vec![],
        },
        LeaseResponse::Lease {
            span: Milliseconds(6000),
            epoch: ConfigEpoch(31),
            update: Some(update(Some(vec![
                member(7201, "north"),
                member(7202, "a-longer-zone"),
            ]))),
            view: ViewNumber(7),
            voters: vec![Address::loopback(7101)],
            key: Some(TokenKey([0x5a; 32])),
        },
        LeaseResponse::Lease {
            span: Milliseconds(6000),
            epoch: ConfigEpoch(31),
            update: None,
            view: ViewNumber(7),
            voters: vec![],
            key: None,
        },
    ]
}

fn readings() -> Vec<Query> {
    vec![
        Query::Latest,
        Query::Base {
            at_least: ConfigEpoch(30),
        },
        Query::AcceptedCommand {
            epoch: ConfigEpoch(12),
        },
        Query::Reachability {
            id: "forget-the-lost-1".into(),
            members: vec![Address::loopback(7201), Address::loopback(7202)],
        },
        Query::CommandStatus {
            id: "change-4711".into(),
        },
        Query::Newest,
        Query::Tenants,
    ]
}

fn server_entries() -> Vec<ServerEntry> {
    vec![
        ServerEntry {
            server: ServerName::from("model-0.life-3"),
            address: Some("127.0.0.1:8101".into()),
            slots: Some(16),
            warm_up_left: Some(Milliseconds(2500)),
            zone: ZoneName::from("north"),
            pool: "model".into(),
            is_draining: false,
        },
        ServerEntry {
            server: ServerName::from("127.0.0.1:8102"),
            address: None,
            slots: None,
            warm_up_left: None,
            zone: ZoneName::from("a-longer-zone"),
            pool: "app".into(),
            is_draining: true,
        },
    ]
}

fn list_state() -> ServerListState {
    ServerListState {
        version: ServerListVersion {
            incarnation: 0x0011_2233_4455_6677,
            number: 5,
        },
        check: 0x8899_aabb_ccdd_eeff,
        warming_up: Milliseconds(1200),
        age: Milliseconds(345),
    }
}

fn digest_change() -> DigestChange {
    DigestChange {
        hot: vec![0x1111_2222_3333_4444, 2],
        hot_counts: vec![3, 4],
        loads: vec![5, 6],
        load_counts: vec![7, 0],
        pending_prefill_tokens: vec![8],
        pending_prefill_counts: vec![9],
        memory: vec![10],
        memory_counts: vec![11],
        cached: vec![12, 13],
        cached_by: vec![14, 15],
        cached_counts: vec![16, 17],
        draining: vec![18],
        draining_counts: vec![19],
        missing: vec![Address::loopback(7203)],
    }
}

fn amount(thousandths: u64) -> Amount {
    Amount { thousandths }
}

fn credit_ask(since_start: Option<Milliseconds>) -> CreditRequest {
    CreditRequest {
        incarnation: 77,
        number: 8,
        plan_epoch: ConfigEpoch(29),
        since_start,
        is_complete: since_start.is_some(),
        entries: vec![TenantCreditRequest {
            tenant: TenantName::from("acme"),
            limit: QuotaLimit {
                rate: amount(20_000),
                burst: amount(40_500),
            },
            available: amount(1000),
            required: amount(2000),
            requested: amount(3000),
        }],
    }
}

fn messages() -> Vec<Message> {
    let mut messages: Vec<Message> = notes()
        .into_iter()
        .map(|message| Message::Replication {
            message: Box::new(message),
        })
        .collect();
    messages.push(Message::LeaseRequest {
        request: Box::new(LeaseRequest {
            member: member(7201, "north"),
            round: 6,
            epoch: ConfigEpoch(30),
            view: ViewNumber(7),
            has_key: true,
            reachable_peers: vec![
                Address::loopback(7202),
                "[::1]:7203".parse().expect("an address"),
            ],
        }),
    });
    messages.extend(
        poll_responses()
            .into_iter()
            .map(|response| Message::LeaseResponse {
                round: 6,
                response: Box::new(response),
            }),
    );
    messages.extend(letters_of_plans());
    messages.extend(letters_of_peers());
    messages.extend(letters_of_lists());
    messages.extend(readings().into_iter().map(|reading| Message::QueryRequest {
        number: 51,
        query: Box::new(reading),
    }));
    messages.push(Message::QueryResponse {
        number: 51,
        status: 404,
        body: br#"{"code":305}"#.to_vec(),
    });
    messages.extend(
        [None, Some(Milliseconds(1234))].map(|since_start| Message::CreditRequest {
            request: Box::new(credit_ask(since_start)),
        }),
    );
    messages.push(Message::CreditGrant {
        grant: Box::new(CreditGrant {
            number: 8,
            lifetime: Milliseconds(4000),
            wants_complete: true,
            entries: vec![TenantCreditGrant {
                tenant: TenantName::from("acme"),
                granted: amount(2500),
                retry_after: Milliseconds(750),
            }],
        }),
    });
    messages.push(Message::CoreLocation {
        location: Box::new(CoreLocation {
            view: ViewNumber(7),
            voters: vec![Address::loopback(7101), Address::loopback(7102)],
            controllers: vec![ControllerContact {
                inner: Address::loopback(7101),
                admin: Address::loopback(7301),
                age: Milliseconds(88),
            }],
        }),
        is_response: true,
    });
    messages
}

fn letters_of_plans() -> Vec<Message> {
    vec![
        Message::PlanRequest {
            epoch: ConfigEpoch(29),
            offset: 262_144,
            have: ConfigEpoch(28),
        },
        Message::PlanDelta {
            epoch: ConfigEpoch(29),
            base: ConfigEpoch(28),
            delta: Delta {
                start: 12,
                removed: 3,
                inserted: b"16".to_vec(),
            },
        },
        Message::PlanChunk {
            epoch: ConfigEpoch(29),
            offset: 5,
            length: 99,
            bytes: b"a piece of a plan".to_vec(),
        },
        Message::ConfigUpdate {
            update: Box::new(update(Some(vec![member(7201, "north")]))),
        },
        Message::ConfigUpdate {
            update: Box::new(update(None)),
        },
        Message::ConfigUpdateRequest,
    ]
}

fn letters_of_peers() -> Vec<Message> {
    let legs = [DigestLeg::Report, DigestLeg::Zone, DigestLeg::Fleet];
    let mut messages = vec![
        Message::PeerCheckRequest {
            round: 21,
            epoch: ConfigEpoch(31),
        },
        Message::PeerCheckResponse {
            echo: 21,
            epoch: ConfigEpoch(30),
        },
    ];
    for leg in legs {
        messages.push(Message::Digest {
            leg,
            incarnation: 1001,
            number: 4,
            is_snapshot: leg == DigestLeg::Zone,
            change: Box::new(digest_change()),
        });
        messages.push(Message::DigestAck { leg, number: 4 });
    }
    messages
}

fn letters_of_lists() -> Vec<Message> {
    vec![
        Message::ServerListUnchanged {
            state: list_state(),
        },
        Message::ServerListChange {
            change: Box::new(ServerListChange {
                state: list_state(),
                base: ServerListVersion {
                    incarnation: 0x0011_2233_4455_6677,
                    number: 4,
                },
                set: server_entries(),
                removed: vec![ServerName::from("127.0.0.1:8103")],
            }),
        },
        Message::ServerListRequest {
            version: list_state().version,
            offset: 300,
        },
        Message::ServerListChunk {
            chunk: Box::new(ServerListChunk {
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
    let messages = messages();
    let sealed: Vec<(&str, Vec<u8>)> = messages
        .iter()
        .map(|message| {
            let bytes = seal(sender(), message).expect("it can be sealed");
            (letter_name(message), bytes)
        })
        .collect();
    golden_file::compare_entries("letters.txt", &sealed);
    let golden = golden_file::read_entries("letters.txt");
    assert_eq!(golden.len(), messages.len());
    for ((name, bytes), message) in golden.iter().zip(&messages) {
        let opened = open(&mut &bytes[..]).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(opened, (sender(), message.clone()), "{name}");
    }
}

#[test]
fn each_variant_of_what_is_sent_has_a_golden_example() {
    golden_file::check_all_named(ALL_LETTERS, messages().iter().map(letter_name));
    golden_file::check_all_named(ALL_NOTES, notes().iter().map(note_name));
    golden_file::check_all_named(ALL_READINGS, readings().iter().map(reading_name));
    golden_file::check_all_named(
        ALL_POLL_RESPONSES,
        poll_responses().iter().map(poll_response_name),
    );
    let messages = messages();
    let legs = messages.iter().filter_map(|message| match message {
        Message::Digest { leg, .. } => Some(leg_name(leg)),
        _ => None,
    });
    golden_file::check_all_named(ALL_LEGS, legs);
}
