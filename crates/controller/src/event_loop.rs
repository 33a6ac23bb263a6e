//! What reaches the control thread from all others.

use crate::consensus::disk_thread::DiskEvent;
use crate::controller::ControllerInput;

/// One message to the control thread.
pub(crate) enum ControlEvent {
    /// An input of the controller's state machine.
    Input(ControllerInput),
    /// What the disk's thread tells, in this life of it.
    Disk(u64, DiskEvent),
    /// Somebody asks what this controller believes.
    Believes(flume::Sender<serde_json::Value>),
}
