//! Power lost at each sync of the real folder code. This program's own `fsync` and `fdatasync` stand before
//! the C library's: at each, the folder is looked at, and what a loss of power could leave of it is noted.
//! Each file that was made, renamed or removed without a sync of its folder is kept or lost by itself, and
//! what was written without a sync is kept or lost too. Then each such folder is opened.
#![allow(unsafe_code)] // Two functions of the C library are replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::c_int;
use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};
use storage::{RecoveredStorage, Storage, StorageError};
use types::DiskId;

type Inode = u64;
type Names = BTreeMap<PathBuf, Inode>;
type Contents = BTreeMap<Inode, Vec<u8>>;

/// A change of names that no sync of its folder has followed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
enum NameChange {
    Made(PathBuf, Inode),
    Renamed(PathBuf, PathBuf, Inode),
    Removed(PathBuf, Inode),
}

/// What a loss of power may leave at one moment.
struct MonotonicInstant {
    what: String,
    durable: Names,
    pending: Vec<NameChange>,
    synced: Contents,
    written: Contents,
    acked: usize,
}

#[derive(Default)]
struct Watch {
    root: PathBuf,
    durable: Names,
    synced: Contents,
    /// As last seen, also of files that are removed.
    written: Contents,
    /// Kept open, so that no number of a removed file is given to another.
    held: BTreeMap<Inode, fs::File>,
    acked: usize,
    moments: Vec<MonotonicInstant>,
    /// For the mutant: syncs of folders whose names begin so are taken for done and aren't.
    skipped: Option<&'static str>,
    /// The sync after so many more fails, as on a full disk.
    fails_after: Option<usize>,
}

static WATCH: Mutex<Option<Watch>> = Mutex::new(None);
/// Tests of this file take turns: there is one watch.
static TURN: Mutex<()> = Mutex::new(());

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn scan(root: &Path) -> (Names, Contents) {
    let (mut names, mut contents) = (Names::new(), Contents::new());
    let mut folders = vec![root.to_owned()];
    while let Some(folder) = folders.pop() {
        for file in fs::read_dir(folder).into_iter().flatten().flatten() {
            let Ok(meta) = file.metadata() else { continue };
            if meta.is_dir() {
                folders.push(file.path());
            }
            names.insert(file.path(), meta.ino());
            if meta.is_file() {
                let mut bytes = fs::read(file.path()).unwrap_or_default();
                // Segments are preallocated with zeros: some are kept.
                if file.file_name().to_string_lossy().starts_with("wal-") {
                    let used = bytes
                        .iter()
                        .rposition(|byte| *byte != 0)
                        .map_or(0, |last| last + 1);
                    bytes.truncate(used + 64);
                }
                contents.insert(meta.ino(), bytes);
            }
        }
    }
    (names, contents)
}

fn changes_between(durable: &Names, now: &Names) -> Vec<NameChange> {
    let gone: Vec<_> = durable
        .iter()
        .filter(|(path, inode)| now.get(*path) != Some(*inode))
        .collect();
    let new: Vec<_> = now
        .iter()
        .filter(|(path, inode)| durable.get(*path) != Some(*inode))
        .collect();
    let mut changes = vec![];
    for (path, inode) in &new {
        changes.push(match gone.iter().find(|(_, was)| was == inode) {
            Some((from, _)) => NameChange::Renamed((*from).clone(), (*path).clone(), **inode),
            None => NameChange::Made((*path).clone(), **inode),
        });
    }
    for (path, inode) in gone {
        let is_renamed = new.iter().any(|(_, now)| *now == inode);
        if !is_renamed && !now.contains_key(path) {
            changes.push(NameChange::Removed(path.clone(), *inode));
        }
    }
    changes
}

impl Watch {
    fn note(&mut self, what: String) {
        let (names, written) = scan(&self.root);
        for (path, inode) in &names {
            if let Ok(file) = fs::File::open(path) {
                self.held.entry(*inode).or_insert(file);
            }
        }
        self.written.extend(written);
        let pending = changes_between(&self.durable, &names);
        let (durable, synced, written) = (
            self.durable.clone(),
            self.synced.clone(),
            self.written.clone(),
        );
        self.moments.push(MonotonicInstant {
            what,
            durable,
            pending,
            synced,
            written,
            acked: self.acked,
        });
    }

    /// Whether the sync succeeds.
    fn on_sync(&mut self, path: &Path) -> bool {
        if !path.starts_with(&self.root) {
            return true;
        }
        if let Some(left) = self.fails_after.as_mut() {
            if *left == 0 {
                self.fails_after = None;
                return false;
            }
            *left -= 1;
        }
        self.note(format!("before the sync of {}", path.display()));
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if self
            .skipped
            .is_some_and(|skipped| path.is_dir() && name.starts_with(skipped))
        {
            return true;
        }
        let (names, contents) = scan(&self.root);
        if path.is_dir() {
            let is_in = |name: &PathBuf| name.parent() == Some(path);
            self.durable.retain(|name, _| !is_in(name));
            self.durable.extend(
                names
                    .iter()
                    .filter(|(name, _)| is_in(name))
                    .map(|(name, inode)| (name.clone(), *inode)),
            );
            // What was in a folder that is gone for good is gone with it.
            let has_folder = |name: &PathBuf| {
                name.parent()
                    .is_some_and(|f| f == self.root || names.contains_key(f))
            };
            self.durable
                .retain(|name, _| path != self.root || has_folder(name));
        } else if let Ok(meta) = fs::metadata(path) {
            self.synced.insert(
                meta.ino(),
                contents.get(&meta.ino()).cloned().unwrap_or_default(),
            );
        }
        true
    }
}

/// Runs instead of the C library's; nothing real is synced, as no real power is lost.
fn sync(descriptor: c_int) -> c_int {
    let mut watch = locked(&WATCH);
    let Some(watch) = watch.as_mut() else {
        return 0;
    };
    let Ok(path) = fs::read_link(format!("/proc/self/fd/{descriptor}")) else {
        return 0;
    };
    if watch.on_sync(&path) {
        return 0;
    }
    unsafe extern "C" {
        fn __errno_location() -> *mut c_int;
    }
    const ENOSPC: c_int = 28;
    // SAFETY: the C library gives the address of this thread's own number.
    unsafe { *__errno_location() = ENOSPC };
    -1
}

#[unsafe(no_mangle)]
extern "C" fn fsync(descriptor: c_int) -> c_int {
    sync(descriptor)
}

#[unsafe(no_mangle)]
extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    sync(descriptor)
}

/// The records after so many acknowledged steps, from none on.
type Expected = Vec<Vec<Vec<u8>>>;

#[derive(Clone, Copy)]
enum Step {
    Write(usize),
    Replace,
    Reopen,
}
use Step::{Reopen, Replace, Write};

/// Folds enough that a segment is taken up again under another name; processes killed and started.
#[rustfmt::skip]
const SCENARIO: &[Step] = &[
    Write(1), Write(2), Replace, Write(1), Replace, Write(1), Write(1), Replace, Write(3), Reopen, Write(1), Replace,
    Write(1), Reopen, Replace, Replace, Write(1), Reopen, Write(1),
];

struct Play {
    root: PathBuf,
    opened: Option<RecoveredStorage>,
    records: Vec<Vec<u8>>,
    expected: Expected,
    count: usize,
}

impl Play {
    fn new(root: &Path, skipped: Option<&'static str>) -> Play {
        fs::create_dir_all(root).expect("made");
        let (durable, _) = scan(root);
        *locked(&WATCH) = Some(Watch {
            root: root.to_owned(),
            durable,
            skipped,
            ..Watch::default()
        });
        let opened = Some(Storage::open(root, DiskId(7)).expect("it opens"));
        Play {
            root: root.to_owned(),
            opened,
            records: vec![],
            expected: vec![vec![]],
            count: 0,
        }
    }

    /// Does a step; whether the disk took it.
    fn step(&mut self, step: Step) -> bool {
        let opened = self.opened.as_mut().expect("it's open");
        let done = match step {
            Write(many) => {
                let first = self.count + 1;
                self.count += many;
                let new: Vec<Vec<u8>> = (first..=self.count)
                    .map(|n| format!("record-{n}").into_bytes())
                    .collect();
                self.records.extend(new.iter().cloned());
                self.expected.push(self.records.clone());
                opened.storage.write(&new)
            }
            Replace => {
                self.records = vec![self.records.concat()];
                self.expected.push(self.records.clone());
                opened.storage.replace(&self.records)
            }
            Reopen => {
                self.expected.push(self.records.clone());
                self.reopen();
                assert_eq!(
                    self.opened.as_ref().map(|opened| &opened.records),
                    Some(&self.records)
                );
                Ok(())
            }
        };
        self.acknowledge();
        done.is_ok()
    }

    fn acknowledge(&mut self) {
        let mut watch = locked(&WATCH);
        let watch = watch.as_mut().expect("a watch");
        watch.acked += 1;
        watch.note(format!("after step {}", self.expected.len() - 1));
    }

    /// As after a kill of the process: what was written is there, synced or not.
    fn reopen(&mut self) {
        self.opened = None;
        let opened = Storage::open(&self.root, DiskId(99)).expect("it opens again");
        assert_eq!(opened.disk, DiskId(7));
        self.opened = Some(opened);
    }

    fn end(mut self) -> (Vec<MonotonicInstant>, Expected) {
        self.opened = None;
        let watch = locked(&WATCH).take().expect("a watch");
        (watch.moments, self.expected)
    }
}

/// The names that are left if these changes are kept and the others lost.
fn names_left(moment: &MonotonicInstant, kept: u32) -> Names {
    let mut names = moment.durable.clone();
    let remove = |names: &mut Names, path: &PathBuf, inode: &Inode| {
        if names.get(path) == Some(inode) {
            names.remove(path);
        }
    };
    for (place, change) in moment.pending.iter().enumerate() {
        if kept & (1 << place) == 0 {
            continue;
        }
        match change {
            NameChange::Made(path, inode) => drop(names.insert(path.clone(), *inode)),
            NameChange::Renamed(from, to, inode) => {
                remove(&mut names, from, inode);
                names.insert(to.clone(), *inode);
            }
            NameChange::Removed(path, inode) => remove(&mut names, path, inode),
        }
    }
    names
}

fn build(root: &Path, at: &Path, names: &Names, contents: &Contents) {
    let _ = fs::remove_dir_all(at);
    fs::create_dir_all(at).expect("made");
    for (path, inode) in names {
        let place = at.join(path.strip_prefix(root).expect("in it"));
        let has_folder = path
            .parent()
            .is_some_and(|folder| folder == root || names.contains_key(folder));
        match contents.get(inode) {
            _ if !has_folder => {}
            None if is_log(path) => fs::create_dir(&place).expect("made"),
            bytes => fs::write(&place, bytes.cloned().unwrap_or_default()).expect("written"),
        }
    }
}

fn is_log(path: &Path) -> bool {
    path.file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with("log"))
}

/// What is wrong with what a loss of power left, if anything.
fn fault_of(at: &Path, moment: &MonotonicInstant, expected: &Expected) -> Option<String> {
    let opened = match Storage::open(at, DiskId(99)) {
        Ok(opened) => opened,
        Err(fault) => return Some(format!("it does not open: {fault}")),
    };
    let is_new = opened.disk == DiskId(99) && opened.records.is_empty() && moment.acked == 0;
    let next = (moment.acked + 1).min(expected.len() - 1);
    let is_known = expected[moment.acked..=next].contains(&opened.records);
    if is_new || (opened.disk == DiskId(7) && is_known) {
        return None;
    }
    let records: Vec<_> = opened
        .records
        .iter()
        .map(|record| String::from_utf8_lossy(record))
        .collect();
    Some(format!("disk {:?} with {records:?}", opened.disk))
}

/// Opens what each loss of power leaves; gives how many there were, and what was wrong.
fn judge(root: &Path, moments: &[MonotonicInstant], expected: &Expected) -> (usize, Vec<String>) {
    let at = root.with_extension("left");
    let (mut seen, mut wrong) = (BTreeSet::new(), vec![]);
    for moment in moments {
        assert!(moment.pending.len() < 10, "{:?}", moment.pending);
        for kept in 0..1u32 << moment.pending.len() {
            let names = names_left(moment, kept);
            for (how, contents) in [("synced", &moment.synced), ("written", &moment.written)] {
                let left: Vec<_> = names
                    .iter()
                    .map(|(path, inode)| (path, contents.get(inode)))
                    .collect();
                if !seen.insert((format!("{left:?}"), moment.acked)) {
                    continue;
                }
                build(root, &at, &names, contents);
                if let Some(fault) = fault_of(&at, moment, expected) {
                    let (what, pending, acked) = (&moment.what, &moment.pending, moment.acked);
                    let state = format!(
                        "{what}, {acked} acknowledged, {how}, kept {kept:b} of {pending:?}"
                    );
                    wrong.push(format!("{state}: {fault}"));
                }
            }
        }
    }
    (seen.len(), wrong)
}

#[test]
fn what_was_acknowledged_is_there_after_a_loss_of_power_at_any_moment() {
    let _turn = locked(&TURN);
    let folder = tempfile::tempdir().expect("a folder");
    let root = folder.path().join("data");
    let mut play = Play::new(&root, None);
    for step in SCENARIO {
        assert!(play.step(*step));
    }
    let (moments, expected) = play.end();
    let (count, wrong) = judge(&root, &moments, &expected);
    println!("{count} folders of {} moments", moments.len());
    assert!(count > 60, "only {count} folders were left");
    assert!(
        wrong.is_empty(),
        "{} of {count}:\n{}",
        wrong.len(),
        wrong[..wrong.len().min(12)].join("\n")
    );
}

/// The mutant `skip-folder-sync`: the judge sees a folder whose syncs do nothing.
#[test]
fn a_folder_that_is_never_synced_is_caught() {
    let _turn = locked(&TURN);
    for skipped in ["log-", "data"] {
        let folder = tempfile::tempdir().expect("a folder");
        let root = folder.path().join("data");
        let mut play = Play::new(&root, Some(skipped));
        for step in &SCENARIO[..3] {
            assert!(play.step(*step));
        }
        let (moments, expected) = play.end();
        let (_, wrong) = judge(&root, &moments, &expected);
        assert!(
            !wrong.is_empty(),
            "{skipped} was never synced, and nothing was lost"
        );
    }
}

/// A disk that is full for one sync: the folder is opened anew, as the controller's disk thread does, holds
/// what was acknowledged or one step more, and takes further steps; then power is lost.
#[test]
fn a_sync_that_fails_at_any_moment_loses_nothing_that_was_acknowledged() {
    let _turn = locked(&TURN);
    let mut failures = 0;
    for fails_after in 0..50 {
        let folder = tempfile::tempdir().expect("a folder");
        let root = folder.path().join("data");
        let mut play = Play::new(&root, None);
        locked(&WATCH).as_mut().expect("a watch").fails_after = Some(fails_after);
        let mut first_judged = 0;
        for step in SCENARIO.iter().filter(|step| !matches!(step, Reopen)) {
            let before = play.records.clone();
            if play.step(*step) {
                continue;
            }
            failures += 1;
            play.reopen();
            let found = play.opened.as_ref().expect("it's open").records.clone();
            assert!(
                found == before || found == play.records,
                "after failure {fails_after}: {found:?}"
            );
            // What was found counts as held from here on.
            let last = play.expected.len() - 1;
            play.expected[last].clone_from(&found);
            play.expected.push(found.clone());
            play.records = found;
            play.acknowledge();
            let watch = locked(&WATCH);
            first_judged = watch.as_ref().expect("a watch").moments.len() - 1;
        }
        let (moments, expected) = play.end();
        // What comes later is as in the test without a failure.
        let judged = &moments[first_judged..moments.len().min(first_judged + 4)];
        let (_, wrong) = judge(&root, judged, &expected);
        assert!(wrong.is_empty(), "after failure {fails_after}: {wrong:?}");
    }
    assert!(failures > 20, "only {failures} steps failed");
}

/// What an earlier build wrote is neither read as this one's nor taken for a wiped disk.
#[test]
fn a_folder_of_an_earlier_build_is_refused_and_left_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let segment = folder.path().join("log").join("wal-1");
    fs::create_dir(folder.path().join("log")).expect("made");
    fs::write(&segment, b"entries").expect("written");
    assert!(matches!(
        Storage::open(folder.path(), DiskId(8)),
        Err(StorageError::Damaged(_))
    ));
    assert_eq!(fs::read(&segment).expect("it's there"), b"entries");
}
