//! Deliberate faults, by which the checkers are tried.

/// A deliberate fault in the system itself, to show that the checkers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Mutant {
    /// Writes are called synced before they are.
    SkipSync,
    /// Voters don't keep their word to a tail.
    SkipFencing,
    /// A wiped disk keeps its id, and so its vote and seat.
    ReuseWipedVote,
    /// A restarted node begins with what it believed long ago.
    SlideEpoch,
    /// A node that lost its lease goes on by itself.
    IgnoreLease,
    /// A server that is leaving is not taken for it.
    IgnoreLeaving,
    /// A lost request is given to another server though it may have run.
    RepeatAnything,
    /// Fresh servers have no ramp.
    SkipRamp,
    /// Servers take requests that were meant for a former life of theirs.
    IgnoreLives,
    /// Pieces go to the client whatever they are.
    LaxPieces,
    /// A stream that is read on begins anew.
    ResumeFromStart,
    /// Repeats cost nothing.
    FreeRepeats,
    /// Whether a request may leave is not asked again once the connection is made.
    AskOnce,
    /// Every third node renews its lease with each poll and takes news from one in fifty.
    StaleNews,
    /// Controllers' questions are answered twice, and the second answer is taken for the core's to the change
    /// behind the question.
    AnswerTwice,
    /// A controller's questions and proposals are numbered alike in each life.
    ReuseNumbers,
    /// Controllers answer operators' reads from what they hold themselves.
    StaleReads,
    /// The same change gets another id each time that it's sent.
    NewIds,
    /// Connections are not given up while their bytes stay unacknowledged.
    PatientLines,
    /// Tails forget at once whom they gave leases, and accept without waiting for them.
    ForgetHolders,
    /// Ledgers remember the last two changes alone.
    ForgetTooEarly,
    /// Nobody is told where the core is but by those whom he asks and who are in it.
    LonelySeeds,
    /// Nodes take twice what they are granted of quotas.
    DoubleGrants,
    /// Tails forget soon what credit they granted, and a new one does not wait for what the last one granted.
    ForgetCredit,
}
