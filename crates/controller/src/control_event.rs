//! What reaches the control thread from all others.

use crate::controller::ControllerInput;
use crate::disk_thread::DiskEvent;

/// One message to the control thread.
pub(crate) enum ControlEvent {
    /// An input of the controller's state machine.
    Input(ControllerInput),
    /// What the disk's thread tells, in this life of it.
    Disk(u64, DiskEvent),
    /// Somebody asks what this controller believes.
    Believes(flume::Sender<serde_json::Value>),
}
