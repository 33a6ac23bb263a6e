//! How a run goes.

use crate::deployment::Deployment;
use crate::schedule::ScheduleRules;
use crate::world::{FaultKind, Mutant};
use controller::Quorum;
use placement::SchedulerRules;
use types::Milliseconds;

/// How a run goes.
#[derive(Debug, Clone)]
pub struct WorldRules {
    /// Whose fleet.
    pub deployment: Deployment,
    /// Where everything is drawn from.
    pub seed: u64,
    /// Faults strike within this.
    pub span: Milliseconds,
    /// After it all is healed, and the run goes on for this long.
    pub calm: Milliseconds,
    /// How many routers, if not as the deployment has.
    pub routers: Option<usize>,
    /// How many faults.
    pub faults: u64,
    /// Of these kinds only; empty: all.
    pub kinds: Vec<FaultKind>,
    /// Requests a second.
    pub requests_a_second: u64,
    /// Operators do something each time after one to six times this.
    pub operators_gap: Milliseconds,
    /// Percent of answers to operators that are lost on their way.
    pub answer_loss: u64,
    /// Percent of plans that are large.
    pub large_plans: u64,
    /// BTB in the operators' plans, as JSON.
    pub btb: serde_json::Value,
    /// How the routers' schedulers work.
    pub scheduler: SchedulerRules,
    /// How the servers work.
    pub servers: ScheduleRules,
    /// Percent of drafts that belong to the burst at hand.
    pub hot_share: u64,
    /// How soon controllers take each other for gone, if not as usual.
    pub suspect: Option<Milliseconds>,
    /// How many controllers, if not as the deployment has.
    pub controllers: Option<usize>,
    /// Controllers without a disk, which settings may come to name as seeds.
    pub relays: usize,
    /// Tenants in the operators' plans, with keys and quotas.
    pub tenants: u64,
    /// Disks that a change is on before it is told as accepted: one more than may be lost at once.
    pub copies: usize,
    /// Who must know a change before it is told as accepted.
    pub quorum: Quorum,
    /// A fault in the system itself.
    pub mutant: Option<Mutant>,
}

impl WorldRules {
    /// One of a sweep.
    pub fn swept(deployment: Deployment, seed: u64) -> Self {
        WorldRules::new(deployment, seed).with_swept_size()
    }
    /// Of the size that a sweep draws from the seed: two of eight have a grown core, of five or six with three copies;
    /// two others have controllers without a disk, and settings that come to name other seeds.
    pub fn with_swept_size(self) -> Self {
        let (controllers, copies) = match self.seed % 8 {
            5 => (Some(5), 3),
            6 => (Some(6), 3),
            _ => (None, 2),
        };
        let relays = if matches!(self.seed % 8, 3 | 7) { 3 } else { 0 };
        WorldRules {
            controllers,
            copies,
            relays,
            ..self
        }
    }
    /// The usual run.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        WorldRules {
            deployment,
            seed,
            span: Milliseconds::seconds(30),
            calm: Milliseconds::seconds(25),
            routers: None,
            faults: 8,
            kinds: vec![],
            requests_a_second: 25,
            operators_gap: Milliseconds(300),
            answer_loss: 3,
            large_plans: 3,
            btb: serde_json::json!({}),
            scheduler: SchedulerRules::default(),
            servers: ScheduleRules::default(),
            hot_share: 50,
            suspect: None,
            controllers: None,
            relays: 0,
            tenants: 0,
            copies: 2,
            quorum: Quorum::Majority,
            mutant: None,
        }
    }
}
