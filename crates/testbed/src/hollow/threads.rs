//! How many more threads this machine lets one user start, by what really bounds them.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A bound on threads, and how many of those that it counts run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ThreadBound {
    /// At most so many.
    pub most: u64,
    /// So many count towards it now.
    pub in_use: u64,
}

impl ThreadBound {
    /// How many more it lets start.
    pub(crate) fn free(self) -> u64 {
        self.most.saturating_sub(self.in_use)
    }
}

/// All bounds that the kernel sets. Each is set against the threads that it counts itself: a machine may run
/// many that are seen from here by their number alone, and that take none of the ids here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ThreadBounds {
    /// Of the whole kernel.
    pub kernel: ThreadBound,
    /// Ids: each thread that is seen from here has one.
    pub ids: ThreadBound,
    /// Of this user, if there is a limit.
    pub user: Option<ThreadBound>,
    /// Of the control groups around this process that have a limit.
    pub groups: Vec<ThreadBound>,
}

impl ThreadBounds {
    /// Reads them, `proc` and `cgroup` being where the kernel shows those file systems.
    pub(crate) fn read(proc: &Path, cgroup: &Path) -> io::Result<ThreadBounds> {
        let (all, own) = count_threads(proc)?;
        Ok(ThreadBounds {
            kernel: ThreadBound {
                most: read_number(&proc.join("sys/kernel/threads-max"))?,
                in_use: running_in_kernel(&fs::read_to_string(proc.join("loadavg"))?)?,
            },
            ids: ThreadBound {
                most: read_number(&proc.join("sys/kernel/pid_max"))?,
                in_use: all,
            },
            user: user_limit(&fs::read_to_string(proc.join("self/limits"))?)
                .map(|most| ThreadBound { most, in_use: own }),
            groups: read_groups(&fs::read_to_string(proc.join("self/cgroup"))?, cgroup),
        })
    }

    /// How many more threads all of them let start.
    pub(crate) fn free(&self) -> u64 {
        let others = self
            .user
            .iter()
            .chain(&self.groups)
            .map(|bound| bound.free());
        others.fold(self.kernel.free().min(self.ids.free()), u64::min)
    }
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{what} can't be read"))
}

fn read_number(path: &Path) -> io::Result<u64> {
    fs::read_to_string(path)?
        .trim()
        .parse()
        .map_err(|_| malformed(&path.display().to_string()))
}

/// The second number of `1/12375`: all threads of the kernel, also those that have no id here.
fn running_in_kernel(loadavg: &str) -> io::Result<u64> {
    let field = loadavg
        .split_whitespace()
        .nth(3)
        .and_then(|field| field.split_once('/'));
    field
        .and_then(|(_, all)| all.parse().ok())
        .ok_or_else(|| malformed("loadavg"))
}

/// Threads of all processes that are seen, and those of this process's user.
fn count_threads(proc: &Path) -> io::Result<(u64, u64)> {
    let status = |folder: &Path| -> Option<(u64, String)> {
        let text = fs::read_to_string(folder.join("status")).ok()?;
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        let user = field("Uid:")?.split_whitespace().next()?.to_owned();
        Some((field("Threads:")?.trim().parse().ok()?, user))
    };
    let (_, user) = status(&proc.join("self")).ok_or_else(|| malformed("the own status"))?;
    let (mut all, mut own) = (0, 0);
    for entry in fs::read_dir(proc)? {
        let entry = entry?;
        let is_process = entry
            .file_name()
            .to_string_lossy()
            .bytes()
            .all(|byte| byte.is_ascii_digit());
        // One that has ended meanwhile counts no more.
        let Some((threads, its_user)) = is_process.then(|| status(&entry.path())).flatten() else {
            continue;
        };
        all += threads;
        own += if its_user == user { threads } else { 0 };
    }
    Ok((all, own))
}

/// The soft limit of `Max processes`; none if it is unlimited.
fn user_limit(limits: &str) -> Option<u64> {
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max processes"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The limits of the control groups that this process is in, up to the root: of version 2, or of the
/// controller `pids` of version 1.
fn read_groups(membership: &str, cgroup: &Path) -> Vec<ThreadBound> {
    let mut bounds = vec![];
    for line in membership.lines() {
        let mut fields = line.splitn(3, ':').skip(1);
        let (Some(controllers), Some(path)) = (fields.next(), fields.next()) else {
            continue;
        };
        let root = match controllers {
            "" => cgroup.to_owned(),
            _ if controllers
                .split(',')
                .any(|controller| controller == "pids") =>
            {
                cgroup.join("pids")
            }
            _ => continue,
        };
        let own: PathBuf = root.join(path.trim_start_matches('/'));
        bounds.extend(
            own.ancestors()
                .take_while(|folder| folder.starts_with(&root))
                .filter_map(group_bound),
        );
    }
    bounds
}

/// A group's limit, if it has one: without, its file says `max`.
fn group_bound(folder: &Path) -> Option<ThreadBound> {
    let number = |name: &str| read_number(&folder.join(name)).ok();
    Some(ThreadBound {
        most: number("pids.max")?,
        in_use: number("pids.current")?,
    })
}

#[cfg(test)]
mod tests;
