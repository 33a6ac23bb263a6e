use super::*;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use yare::parameterized;

#[parameterized(
    full = { || io::Error::from(io::ErrorKind::StorageFull) },
    io_error = { || io::Error::from_raw_os_error(5) },
)]
fn a_disk_that_refuses_at_the_start_is_tried_until_it_takes_the_folder(refuse: fn() -> io::Error) {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, tries) = (folder.path().join("data"), AtomicUsize::new(0));
    let open = move || match tries.fetch_add(1, Ordering::Relaxed) {
        0 | 1 => Err(FolioFault::Io(refuse())),
        _ => open_folder(&path),
    };
    let (tell, told) = flume::unbounded();
    let shelf = Shelf::open_by(open, Duration::ZERO, move |life, event| tell.send((life, event)).unwrap());
    let _shelf = shelf.expect("it starts");
    let next = || told.recv_timeout(Duration::from_secs(10)).expect("an event");
    assert!(matches!(next(), (1, ShelfEvent::Fault { .. })));
    assert!(matches!(next(), (1, ShelfEvent::Fault { .. })));
    assert!(matches!(next(), (1, ShelfEvent::Ready { .. })));
}

#[test]
fn a_folder_that_cannot_exist_is_a_fault_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "").expect("written");
    assert!(Shelf::open(&file.join("data"), |_, _| {}).is_err());
}
