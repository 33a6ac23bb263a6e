//! Departures from the default schedule.

/// How long a trouble lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// A process that is started again at once.
    Brief,
    /// Back before anybody takes the machine for gone.
    Short,
    /// Back after its vote may have been given to another.
    Long,
}

impl Outage {
    /// In ms.
    pub fn span(self) -> u64 {
        match self {
            Outage::Brief => 100,
            Outage::Short => 500,
            Outage::Long => 5000,
        }
    }
}

/// Which way a machine is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CutDirection {
    /// Nothing comes in and nothing goes out.
    Both,
    /// Nothing comes in.
    Inward,
    /// Nothing goes out.
    Outward,
}

/// How much later than it would a message comes, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    /// By two ticks.
    Little,
    /// By more than a lease.
    Lease,
}

impl Lateness {
    /// In ms.
    pub fn span(self) -> u64 {
        match self {
            Lateness::Little => 200,
            Lateness::Lease => 1100,
        }
    }
}

/// What befalls one message or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepFault {
    /// The message is lost.
    Lose,
    /// The message comes later, behind others.
    Delay(Lateness),
    /// The message comes now, and again later.
    Repeat(Lateness),
    /// The machine crashes before the write is on its disk.
    CrashBeforeSync(Outage),
    /// The machine crashes when the write is on its disk and nobody knows.
    CrashAfterSync(Outage),
}

/// One departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deviation {
    /// A machine crashes and comes back with its disk.
    Crash(usize, Outage),
    /// A machine comes back with an empty disk.
    Wipe(usize, Outage),
    /// A machine is gone for good; an empty one comes at another address.
    Replace(usize, Outage),
    /// An empty machine comes at another address; 4 s later this one is asked to leave.
    PlannedReplace(usize),
    /// A machine is asked to stop, and comes back with its disk.
    PlannedRestart(usize),
    /// A machine is cut off.
    Cut(usize, CutDirection, Outage),
    /// A machine does nothing for a while; what comes for it waits.
    Pause(usize, Outage),
    /// An operator sends his command to a machine.
    Propose {
        /// Which operator.
        operator: usize,
        /// Which machine.
        via: usize,
    },
    /// Something befalls this step of the tick.
    AtStep {
        /// Its place among the tick's steps.
        index: usize,
        /// What.
        fault: StepFault,
    },
}

impl Deviation {
    /// Whether it's a command, which has a budget of its own.
    pub fn is_proposal(&self) -> bool {
        matches!(self, Deviation::Propose { .. })
    }
    /// Whether a disk's contents are lost by it.
    pub fn loses_disk(&self) -> bool {
        matches!(self, Deviation::Wipe(..) | Deviation::Replace(..))
    }
}

/// The deviations of one tick: those at its start first, then those at its steps, in order.
pub(crate) type TickPlan = Vec<Deviation>;
