//! Members that say that they are isolated, and those that were there all the time.

use super::*;
use yare::parameterized;

impl Cluster {
    /// The chain of the newest view that a replica knows.
    fn newest_chain(&self) -> Vec<u16> {
        let views = self.replicas.iter().flatten().map(Replica::view);
        let newest = views.max_by_key(|view| view.epoch).expect("some run");
        let ports = newest.chain.iter().map(|p| p.voter.address.0.port());
        ports.collect()
    }
}

/// A member that was up all the time loses its position, and what it holds may be the last copy: the
/// first view after the majority is back drops it, since its last heartbeat still calls it isolated.
#[parameterized(
    head_returns = { [4, 5], [1, 2, 3] },
    middle_returns = { [1, 5], [3, 2, 4] },
    tail_returns = { [1, 2], [5, 4, 3] },
    second_to_last_returns = { [3, 1], [4, 2, 5] },
)]
fn whoever_was_there_stays_when_the_majority_is_back(there: [u16; 2], away: [u16; 3]) {
    for moment in (0..200).step_by(25) {
        let mut cluster = Cluster::new(5, 5, 5);
        cluster.play(4000, None);
        away.iter().for_each(|n| cluster.stop(*n));
        cluster.play(2000 + moment, None);
        cluster.start(away[0]);
        for _ in 0..160 {
            cluster.play(25, None);
            let chain = cluster.newest_chain();
            let are_members = there.iter().all(|n| chain.contains(n));
            assert!(are_members, "{moment} ms: {chain:?}");
        }
        assert_eq!(cluster.newest_chain().len(), 3, "{moment} ms");
    }
}
