use super::*;
use crate::record_frame::HEADER_BYTES;
use types::DiskId;

fn records(words: &[&str]) -> Vec<Vec<u8>> {
    words.iter().map(|text| text.as_bytes().to_vec()).collect()
}

#[test]
fn records_are_recovered_after_snapshots_and_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = Storage::open(folder.path(), DiskId(7)).unwrap();
    assert_eq!((opened.disk, opened.records.len()), (DiskId(7), 0));
    opened.storage.write(&records(&["a", "b"])).unwrap();
    opened.storage.write(&records(&["c"])).unwrap();
    drop(opened);
    let mut opened = Storage::open(folder.path(), DiskId(8)).unwrap();
    assert_eq!(
        (opened.disk, opened.records),
        (DiskId(7), records(&["a", "b", "c"]))
    );
    opened.storage.replace(&records(&["abc"])).unwrap();
    opened.storage.write(&records(&["d"])).unwrap();
    drop(opened.storage);
    let opened = Storage::open(folder.path(), DiskId(9)).unwrap();
    assert_eq!(
        (opened.disk, opened.records),
        (DiskId(7), records(&["abc", "d"]))
    );
}

#[test]
fn large_records_survive_and_only_snapshots_cut_the_log() {
    let folder = tempfile::tempdir().unwrap();
    let large: Vec<Vec<u8>> = (0..6u8).map(|n| vec![n; 700_000]).collect();
    let mut opened = Storage::open(folder.path(), DiskId(7)).unwrap();
    large
        .iter()
        .for_each(|record| opened.storage.write(std::slice::from_ref(record)).unwrap());
    drop(opened);
    let opened = Storage::open(folder.path(), DiskId(8)).unwrap();
    assert_eq!(opened.records, large);
}

/// A folder with three entries, and where its only log file is.
fn three_entries() -> (tempfile::TempDir, PathBuf, Vec<u8>) {
    let folder = tempfile::tempdir().unwrap();
    let mut opened = Storage::open(folder.path(), DiskId(7)).unwrap();
    ["first", "second", "third"]
        .iter()
        .for_each(|text| opened.storage.write(&records(&[text])).unwrap());
    drop(opened);
    let mut files = fs::read_dir(folder.path().join(log_name(FIRST))).unwrap();
    let path = files.next().unwrap().unwrap().path();
    assert!(files.next().is_none());
    let intact = fs::read(&path).unwrap();
    (folder, path, intact)
}

#[test]
fn a_damaged_log_is_never_served_except_that_the_last_entry_may_look_torn() {
    let (folder, path, intact) = three_entries();
    let used = intact.iter().rposition(|byte| *byte != 0).unwrap() + 1;
    let third = intact
        .windows(5)
        .position(|window| window == b"third")
        .unwrap()
        - HEADER_BYTES;
    let good = records(&["first", "second", "third"]);
    for place in 0..used {
        let mut damaged = intact.clone();
        damaged[place] ^= 0x40;
        fs::write(&path, &damaged).unwrap();
        if let Ok(opened) = Storage::open(folder.path(), DiskId(8)) {
            let is_harmless = opened.records == good;
            // From the end of the second entry on: as if power had failed while the third was written.
            let is_torn_last = place + 40 >= third && opened.records == good[..2];
            // The log's own head: a log that is not one of ours is another disk.
            let is_new_disk = opened.disk == DiskId(8) && opened.records.is_empty();
            assert!(
                is_harmless || is_torn_last || is_new_disk,
                "bent at {place}: {:?}",
                opened.records
            );
        }
    }
}

#[test]
fn a_log_torn_in_its_last_entry_gives_all_before_it() {
    let (folder, path, intact) = three_entries();
    let third = intact
        .windows(5)
        .position(|window| window == b"third")
        .unwrap();
    for end in third - HEADER_BYTES - 8..third + 5 {
        let mut torn = intact.clone();
        torn[end..].fill(0);
        fs::write(&path, &torn).unwrap();
        let mut opened = Storage::open(folder.path(), DiskId(8)).unwrap();
        assert_eq!(
            (opened.disk, opened.records),
            (DiskId(7), records(&["first", "second"]))
        );
        opened.storage.write(&records(&["another"])).unwrap();
        drop(opened.storage);
        let opened = Storage::open(folder.path(), DiskId(8)).unwrap();
        assert_eq!(opened.records, records(&["first", "second", "another"]));
    }
}

#[test]
fn a_wiped_folder_is_another_disk_even_if_wiped_in_part_or_in_use() {
    for removed_name in [ID, SNAPSHOT, &log_name(FIRST)] {
        let folder = tempfile::tempdir().unwrap();
        let mut opened = Storage::open(folder.path(), DiskId(7)).unwrap();
        opened.storage.write(&records(&["a"])).unwrap();
        let path = folder.path().join(removed_name);
        if path.is_dir() {
            fs::remove_dir_all(path).unwrap();
        } else {
            fs::remove_file(path).unwrap();
        }
        if removed_name == ID {
            assert!(matches!(
                opened.storage.write(&records(&["b"])),
                Err(StorageError::Gone)
            ));
        }
        drop(opened);
        let opened = Storage::open(folder.path(), DiskId(8)).unwrap();
        assert_eq!(
            (opened.disk, opened.records.len()),
            (DiskId(8), 0),
            "without {removed_name}"
        );
    }
}
