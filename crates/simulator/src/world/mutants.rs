//! Deliberate faults in the system itself, by which the checkers are tried: what each breaks, and which check sees it.
//!
//! The checks named are those that reported violations when the mutants ran with the faults that the tests name.

/// A deliberate fault in the system itself, to show that the checkers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Mutant {
    /// Disks report writes as synced before they are.
    ///
    /// Seen by: a request runs in a zone whose withdrawal was accepted (`Witness::run`), or a read gives an epoch older than an
    /// acknowledged one (`World::on_read`).
    SkipSync,
    /// Replicas do not honour the fence that they promised to a tail.
    ///
    /// Seen by: two tails may respond at once (`World::on_check`).
    SkipFencing,
    /// A wiped disk keeps its id, and with it its vote and its seat.
    ///
    /// Seen by: no change is accepted again after all was healed (`Witness::judge_recovery`).
    ReuseWipedVote,
    /// A restarted node begins with what it believed long ago.
    ///
    /// Seen by: a node sends under an epoch that a newer one has replaced (`Witness::sent`), or places under an earlier one than
    /// before (`Witness::placed`).
    SlideEpoch,
    /// A node that has lost its lease goes on by itself.
    ///
    /// Seen by: a node sends under an epoch that a newer one has replaced (`Witness::sent`).
    IgnoreLease,
    /// A server that is leaving is not taken for one.
    ///
    /// Seen by: requests run at a server long after it was marked as leaving (`Witness::run`).
    IgnoreLeaving,
    /// A lost request is sent to another server though it may have run.
    ///
    /// Seen by: a request runs twice that must not (`Witness::run`).
    RepeatAnything,
    /// Fresh servers have no slow start.
    ///
    /// Seen by: a fresh server has more requests than its age allows (`Witness::run`).
    SkipRamp,
    /// Servers take requests that were meant for an earlier incarnation of theirs.
    ///
    /// Seen by: a restarted server has more requests than its age allows (`Witness::run`).
    IgnoreLives,
    /// Pieces reach the client whatever they are.
    ///
    /// Seen by: a client gets pieces that do not fit its stream (the stream checks of `World::give`).
    LaxPieces,
    /// Events reach the client whatever they are.
    ///
    /// Seen by: a client gets pieces that do not fit its stream (the stream checks of `World::give`).
    PassMalformed,
    /// What a server broke off in reaches the client as an event.
    ///
    /// Seen by: a client gets pieces that do not fit its stream (the stream checks of `World::give`).
    PassUnterminated,
    /// A stream that is resumed begins anew.
    ///
    /// Seen by: a client gets pieces again (the stream checks of `World::give`).
    ResumeFromStart,
    /// Repeats cost nothing.
    ///
    /// Seen by: repeats exceed a fifth of the requests (`Witness::judge_repeats`).
    FreeRepeats,
    /// Whether a request may leave is not asked again once the connection is made.
    ///
    /// Seen by: a node sends under an epoch that a newer one has replaced (`Witness::sent`).
    AskOnce,
    /// Every third node renews its lease with each poll and takes one config update in fifty.
    ///
    /// Seen by: a node sends under an epoch that a newer one has replaced (`Witness::sent`).
    StaleNews,
    /// Controllers' proposals are answered twice, and the second answer is taken for the core's to the change behind the
    /// proposal.
    ///
    /// Seen by: a change that was refused took effect (`Witness::judge_fates`).
    AnswerTwice,
    /// A controller's reads and proposals have the same numbers in each incarnation.
    ///
    /// Seen by: an accepted change does not read back as sent (`Witness::judge_fates`).
    ReuseNumbers,
    /// Controllers answer operators' reads from their own state.
    ///
    /// Seen by: the calls about the plan are not linearizable (`History::judge`).
    StaleReads,
    /// The same change gets another id each time that it is sent.
    ///
    /// Seen by: the calls about the plan are not linearizable (`History::judge`).
    NewIds,
    /// Connections are not given up while their bytes stay unacknowledged.
    ///
    /// Seen by: changes are accepted late while a controller is cut off (the tests of `connections` and `faults::aimed`).
    PatientLines,
    /// Tails forget at once to whom they granted leases, and accept without waiting for them.
    ///
    /// Seen by: a node that holds a lease sends under an epoch that a newer one has replaced (`Witness::sent`).
    ForgetHolders,
    /// Ledgers remember the last two changes alone.
    ///
    /// Seen by: an accepted change does not read back as sent (`Witness::judge_fates`).
    ForgetTooEarly,
    /// Only those learn where the core is whom its members answer.
    ///
    /// Seen by: service does not recover after all was healed (`Witness::judge_recovery`).
    LonelySeeds,
    /// Controllers count an operator's call as new when they read it, however long it has waited in a socket.
    ///
    /// Seen by: the calls about a zone are not linearizable (`History::judge`).
    CountFromRead,
    /// Nodes take twice what they are granted of quotas.
    ///
    /// Seen by: a tenant runs more requests than its quota allows (`Witness::judge_quotas`).
    DoubleGrants,
    /// Tails forget soon what credit they granted, and a new one does not wait for what the last one granted.
    ///
    /// Seen by: a tenant runs more requests than its quota allows (`Witness::judge_quotas`).
    ForgetCredit,
}
