//! What can fail.

/// What can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultKind {
    /// A controller's process is killed.
    KillController,
    /// All controllers are.
    KillCore,
    /// More than half of the routers are lost for good; their operator has them forgotten.
    LoseMembers,
    /// Some routers are.
    KillRouters,
    /// Everything of ours is.
    KillAll,
    /// A controller freezes and wakes.
    FreezeController,
    /// A router freezes and wakes.
    FreezeRouter,
    /// The core is split in two.
    SplitCore,
    /// No letters between the core and the routers.
    CutCore,
    /// One way only.
    CutOneWay,
    /// A router's machine is cut off from everything.
    CutRouter,
    /// A zone is lost, servers and all, and comes back.
    LoseZone,
    /// Letters are lost, late, doubled, out of order.
    BadNetwork,
    /// A disk is slow.
    SlowDisk,
    /// A disk stalls.
    StallDisk,
    /// A disk is full for a while.
    FullDisk,
    /// A disk is wiped, its machine restarted.
    WipeDisk,
    /// Power fails at a controller: what was not synced is gone.
    PowerLoss,
    /// Power fails everywhere.
    PowerLossAll,
    /// Power fails everywhere right after a change was acknowledged.
    PowerLossAfterAck,
    /// A disk is wiped right after a change was acknowledged.
    WipeAfterAck,
    /// As many disks as may be lost at once are, or a zone's, right after a change was acknowledged, while all
    /// other controllers lose power. Struck only where it's named.
    LoseBudgetAfterAck,
    /// The same, at any time.
    LoseBudget,
    /// A controller's machine is lost for good; an empty one comes at a new address.
    ReplaceCore,
    /// A server crashes and comes back.
    CrashServer,
    /// A server restarts in place, too fast for anyone to find it gone. Struck only where it's named.
    RestartServer,
    /// A server takes requests and says nothing.
    DarkServer,
    /// A server answers, but slowly.
    SlowServer,
    /// All machines of ours in a zone freeze and wake.
    FreezeZone,
    /// Traffic jumps to five times as much and back, most of it with one prefix.
    Crowd,
    /// Servers leave pieces out, double them, mix runs up, end early.
    GarbleServers,
    /// Servers make connections late.
    LateAccept,
    /// Servers are replaced one after another.
    ReplaceServers,
    /// A server leaves: marked first, gone later.
    LeaveServer,
    /// Plans come in a storm.
    PlanStorm,
    /// Most servers refuse or fail.
    Brownout,
    /// A controller's machine is cut off from all others in silence, for up to 17 s; operators reach it.
    CutController,
    /// The same for a few seconds, with all connections reset.
    ResetController,
    /// A zone is evacuated by way of a controller that was just cut off, then by another, and then restored. Struck
    /// only where it's named.
    EvacuateCut,
    /// A controller freezes; a zone is evacuated by way of it, then of another, and then restored, and the first
    /// connection stays open all the while. Struck only where it's named.
    EvacuateFrozen,
    /// The controller that acknowledged the last change is killed.
    KillLeader,
    /// It freezes and wakes.
    FreezeLeader,
    /// It is cut off.
    CutLeader,
    /// A controller is killed 5 to 400 ms after a change was sent to it.
    KillAfterSend,
    /// Power fails everywhere 5 to 400 ms after a change was sent.
    PowerLossAfterSend,
    /// All controllers are killed while some disk writes.
    KillInWrite,
    /// A controller is killed; a plan, an evacuation and a reading reach it at the moment of its return.
    MeetReturn,
    /// A controller's machine is replaced by plan: the new one comes first, then the old one is told to end.
    ReplacePlanned,
    /// A controller's machine is lost for good, and the new one can't reach two of those that its settings name.
    ReplaceCutSeeds,
    /// The settings of all machines name other seeds, mostly controllers without a disk. Struck where there are such,
    /// or it's named.
    ExchangeSeeds,
}

/// All that strike where no kinds are named.
pub(super) const KINDS: [FaultKind; 44] = [
    FaultKind::KillController,
    FaultKind::KillCore,
    FaultKind::LoseMembers,
    FaultKind::KillRouters,
    FaultKind::KillAll,
    FaultKind::FreezeController,
    FaultKind::FreezeRouter,
    FaultKind::SplitCore,
    FaultKind::CutCore,
    FaultKind::CutOneWay,
    FaultKind::CutRouter,
    FaultKind::LoseZone,
    FaultKind::BadNetwork,
    FaultKind::SlowDisk,
    FaultKind::StallDisk,
    FaultKind::FullDisk,
    FaultKind::WipeDisk,
    FaultKind::PowerLoss,
    FaultKind::PowerLossAll,
    FaultKind::PowerLossAfterAck,
    FaultKind::WipeAfterAck,
    FaultKind::ReplaceCore,
    FaultKind::CrashServer,
    FaultKind::DarkServer,
    FaultKind::LateAccept,
    FaultKind::GarbleServers,
    FaultKind::SlowServer,
    FaultKind::FreezeZone,
    FaultKind::Crowd,
    FaultKind::ReplaceServers,
    FaultKind::LeaveServer,
    FaultKind::PlanStorm,
    FaultKind::Brownout,
    FaultKind::CutController,
    FaultKind::ResetController,
    FaultKind::KillLeader,
    FaultKind::FreezeLeader,
    FaultKind::CutLeader,
    FaultKind::KillAfterSend,
    FaultKind::PowerLossAfterSend,
    FaultKind::KillInWrite,
    FaultKind::MeetReturn,
    FaultKind::ReplacePlanned,
    FaultKind::ReplaceCutSeeds,
];
