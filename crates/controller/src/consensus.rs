//! Driver of the replicated log: the thread that owns the data folder.

pub(crate) mod disk_thread;
