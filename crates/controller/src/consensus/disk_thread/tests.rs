use super::*;
use crate::consensus::disk_thread::{DiskEvent, DiskThread};
use config::ConfigStateMachine;
use replication::{
    ChainPosition, Change, ChangeRequestId, Record, Replica, StateMachine, Timing, View, Voter,
};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use storage::StorageError;
use types::{Address, DiskId, MonotonicInstant, SequenceNumber};
use yare::parameterized;

#[parameterized(
    full = { || io::Error::from(io::ErrorKind::StorageFull) },
    io_error = { || io::Error::from_raw_os_error(5) },
)]
fn a_disk_that_refuses_at_the_start_is_tried_until_it_takes_the_folder(refuse: fn() -> io::Error) {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, tries) = (folder.path().join("data"), AtomicUsize::new(0));
    let open = move || match tries.fetch_add(1, Ordering::Relaxed) {
        0 | 1 => Err(StorageError::Io {
            action: "open",
            source: refuse(),
        }),
        _ => open_folder(&path),
    };
    let (notify, events) = flume::unbounded();
    let disk_thread = DiskThread::open_by(open, Duration::ZERO, move |incarnation, event| {
        notify.send((incarnation, event)).unwrap();
    });
    let _disk_thread = disk_thread.expect("it starts");
    let next = || {
        events
            .recv_timeout(Duration::from_secs(10))
            .expect("an event")
    };
    assert!(matches!(next(), (1, DiskEvent::Fault { .. })));
    assert!(matches!(next(), (1, DiskEvent::Fault { .. })));
    assert!(matches!(next(), (1, DiskEvent::Ready { .. })));
}

#[test]
fn a_folder_that_cannot_exist_is_a_fault_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "").expect("written");
    assert!(DiskThread::open(&file.join("data"), |_, _| {}).is_err());
}

/// Records bent at random, by a fixed seed: a fault or records, and never a panic, neither here nor when a
/// member of the core begins with them.
#[test]
fn bent_records_are_a_fault_or_records_that_a_member_can_judge() {
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let me = Voter {
        address: Address::loopback(1),
        disk: DiskId(1),
    };
    let view = View {
        chain: vec![ChainPosition {
            voter: me,
            is_caught_up: true,
        }],
        voters: vec![me],
        ..View::none()
    };
    let request_id = ChangeRequestId {
        origin: me.address,
        number: 1,
    };
    let change = Change {
        seq: SequenceNumber(6),
        origin_view: view.epoch,
        request_id,
        body: vec![1, 2, 3],
    };
    let body = ConfigStateMachine::default().snapshot();
    let records = [
        Record::View { view: view.clone() },
        Record::Snapshot {
            last: SequenceNumber(5),
            origin_view: view.epoch,
            body,
        },
        Record::Change { change },
    ];
    let raw: Vec<Vec<u8>> = records
        .iter()
        .map(|record| {
            rkyv::to_bytes::<rkyv::rancor::Error>(record)
                .expect("archived")
                .to_vec()
        })
        .collect();
    let config = Config {
        cases: 4000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[19; 32]));
    let bends = proptest::collection::vec((0..raw.len(), any::<usize>(), any::<u8>()), 1..5);
    let outcome = runner.run(&bends, |bends| {
        let mut bent = raw.clone();
        for (record, place, byte) in bends {
            let length = bent[record].len();
            bent[record][place % length] = byte;
        }
        if let Ok(recovered) = read_records(&bent) {
            let _ = Replica::new(
                me,
                vec![],
                Timing::default(),
                recovered,
                ConfigStateMachine::default(),
                MonotonicInstant(1),
            );
        }
        Ok(())
    });
    outcome.unwrap_or_else(|fault| panic!("{fault}"));
}
