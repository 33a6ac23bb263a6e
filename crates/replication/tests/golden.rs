//! Each kind of record on the disk against its golden bytes, so that builds of before and after
//! read each other's data. `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use replication::{
    ChainPosition, Change, ChangeRequestId, LeaseStatus, ProposalNumber, Record, Timing, View,
    ViewProposal, Voter,
};
use types::{Address, DiskId, SequenceNumber, ViewNumber};

variant_names!(ALL_RECORDS, record_name(Record) {
    Record::Promised { .. } => "Promised",
    Record::Accepted { .. } => "Accepted",
    Record::View { .. } => "View",
    Record::Change { .. } => "Change",
    Record::Snapshot { .. } => "Snapshot",
});

fn view() -> View {
    let voter = |port: u16| Voter {
        address: Address::loopback(port),
        disk: DiskId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f00 + u128::from(port)),
    };
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

/// A view in which nothing may be committed: the members of its reserve stand behind the chain.
fn view_with_reserve() -> View {
    let mut view = view();
    let dropped = view.chain.remove(1);
    view.reserve = vec![dropped.voter];
    view
}

fn records() -> Vec<Record> {
    let proposal_number = ProposalNumber {
        count: 3,
        proposer: 0xfeed_0000_0000_0000_0000_0000_0000_beef,
    };
    vec![
        Record::Promised {
            instance: ViewNumber(8),
            proposal_number,
        },
        Record::Accepted {
            proposal: ViewProposal {
                proposal_number,
                view: view(),
            },
        },
        Record::View { view: view() },
        Record::Change {
            change: Change {
                seq: SequenceNumber(13),
                origin_view: ViewNumber(7),
                request_id: ChangeRequestId {
                    origin: Address::loopback(7104),
                    number: 0x1122_3344_5566_7788,
                },
                body: b"the body of a change".to_vec(),
            },
        },
        Record::Snapshot {
            last: SequenceNumber(12),
            origin_view: ViewNumber(6),
            body: b"the state machine's own snapshot".to_vec(),
        },
        Record::View {
            view: view_with_reserve(),
        },
    ]
}

fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

#[test]
fn each_record_has_its_golden_bytes_and_they_read_as_it() {
    let records = records();
    let archived: Vec<(&str, Vec<u8>)> = records
        .iter()
        .map(|record| {
            let bytes = rkyv::to_bytes::<rkyv::rancor::Error>(record).expect("it is archived");
            (record_name(record), bytes.to_vec())
        })
        .collect();
    golden_file::compare_entries("records.txt", &archived);
    let golden = golden_file::read_entries("records.txt");
    assert_eq!(golden.len(), records.len());
    for ((name, bytes), record) in golden.iter().zip(&records) {
        let read = rkyv::from_bytes::<Record, rkyv::rancor::Error>(&aligned(bytes));
        assert_eq!(read.ok().as_ref(), Some(record), "{name}");
    }
    golden_file::check_all_named(ALL_RECORDS, records.iter().map(record_name));
}

variant_names!(ALL_STATUSES, status_name(LeaseStatus) {
    LeaseStatus::Leased => "leased",
    LeaseStatus::PeerQuorum => "together",
    LeaseStatus::NeverLeased => "unheard",
    LeaseStatus::Isolated => "alone",
    LeaseStatus::Outdated => "behind",
});

const STATUSES: [LeaseStatus; 5] = [
    LeaseStatus::Leased,
    LeaseStatus::PeerQuorum,
    LeaseStatus::NeverLeased,
    LeaseStatus::Isolated,
    LeaseStatus::Outdated,
];

#[test]
fn operators_are_shown_each_lease_status_by_its_word() {
    for status in STATUSES {
        assert_eq!(status.word(), status_name(&status));
    }
    golden_file::check_all_named(ALL_STATUSES, STATUSES.iter().map(status_name));
}

#[test]
fn the_spans_and_bounds_of_a_replica_are_as_ever() {
    golden_file::compare_text("timing.txt", &golden_file::values_of(&Timing::default()));
}
