//! Transfer of the plan in force to members that lack it, as a delta or in chunks.

use crate::controller::Controller;
use types::{Address, ConfigEpoch};
use wire::{MAX_DELTA_BYTES, Message};

impl Controller {
    pub(crate) fn on_plan_request(
        &mut self,
        from: Address,
        epoch: ConfigEpoch,
        offset: u64,
        have: ConfigEpoch,
    ) {
        let config_state = self.replica.state_machine();
        if let Some((base, delta)) = &config_state.newest
            && (epoch, have, offset) == (config_state.plan_epoch, *base, 0)
            && delta.inserted.len() <= MAX_DELTA_BYTES
        {
            let (base, delta) = (*base, delta.clone());
            return self.send(from, Message::PlanDelta { epoch, base, delta });
        }
        let piece = Message::plan_chunk(epoch, &config_state.plan, offset)
            .filter(|_| config_state.plan_epoch == epoch);
        piece
            .into_iter()
            .for_each(|message| self.send(from, message));
    }
}
