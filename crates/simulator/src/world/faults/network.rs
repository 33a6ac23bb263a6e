//! Faults of the network: partitions, cut machines, lost messages.

use super::{FaultEntry, FaultTarget};
use crate::world::{FaultKind, World};
use types::Address;

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::lasting(FaultKind::SplitCore, World::split_core),
    FaultEntry::lasting(FaultKind::CutCore, World::cut_core),
    FaultEntry::lasting(FaultKind::CutOneWay, World::cut_one_way),
    FaultEntry::healed_by(
        FaultKind::CutRouter,
        World::cut_router,
        World::rejoin_router,
    ),
    FaultEntry::healed_by(FaultKind::BadNetwork, World::lose_messages, |world, _| {
        world.loss = 0;
    }),
];

impl World {
    fn controller_addresses(&self) -> Vec<Address> {
        self.controllers.iter().map(|m| m.address).collect()
    }

    fn router_addresses(&self) -> Vec<Address> {
        self.routers.iter().map(|m| m.address).collect()
    }

    /// The addresses of all controllers and routers, in this order.
    pub(super) fn disk_and_router_addresses(&self) -> Vec<Address> {
        [self.controller_addresses(), self.router_addresses()].concat()
    }

    fn split_core(&mut self, target: &FaultTarget) {
        let core = self.controller_addresses();
        let (ones, others) = core.split_at(1 + target.controller % (core.len() - 1));
        self.cut_between(target.place, ones, others, false);
    }

    fn cut_core(&mut self, target: &FaultTarget) {
        let core = self.controller_addresses();
        let members = self.router_addresses();
        self.cut_between(target.place, &core, &members, false);
    }

    fn cut_one_way(&mut self, target: &FaultTarget) {
        let sender = self.controllers[target.controller].address;
        let all = self.disk_and_router_addresses();
        self.cut_between(target.place, &[sender], &all, true);
    }

    fn cut_router(&mut self, target: &FaultTarget) {
        let router = self.routers[target.router].address;
        let all = self.disk_and_router_addresses();
        self.cut_between(target.place, &[router], &all, false);
        self.routers[target.router].is_cut_off = target.pick.is_multiple_of(2);
    }

    fn rejoin_router(&mut self, target: &FaultTarget) {
        self.routers[target.router].is_cut_off = false;
    }

    fn lose_messages(&mut self, target: &FaultTarget) {
        self.loss = 10 + target.pick % 20;
    }

    /// Drops all messages from the ones to the others, and back unless it is one way.
    pub(super) fn cut_between(
        &mut self,
        place: usize,
        ones: &[Address],
        others: &[Address],
        is_one_way: bool,
    ) {
        for one in ones {
            for other in others.iter().filter(|other| *other != one) {
                self.faults[place].cut.push((*one, *other));
                if !is_one_way {
                    self.faults[place].cut.push((*other, *one));
                }
            }
        }
        self.update_cuts();
    }

    /// Takes the cuts of all faults together.
    pub(super) fn update_cuts(&mut self) {
        let faults = self.faults.iter();
        self.cut = faults.flat_map(|fault| fault.cut.iter().copied()).collect();
    }
}
