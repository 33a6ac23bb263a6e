//! Driver of the replicated log: the thread that owns the data folder, and the inputs and outputs of the replica.

pub(crate) mod disk_thread;
mod driver;
