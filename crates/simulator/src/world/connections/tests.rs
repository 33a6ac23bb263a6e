use super::*;
use crate::deployment::Deployment;
use crate::world::{Mutant, World, WorldRules};
use std::cmp::Reverse;
use types::{Address, ConfigEpoch};

/// Two controllers of a world in which nothing else goes on.
struct Pair {
    world: World,
    from: Address,
    to: Address,
    /// Rounds of the letters that arrived, and when.
    arrived: Vec<(u64, u64)>,
}

impl Pair {
    fn new(mutant: Option<Mutant>) -> Self {
        let mut world = World::new(WorldRules {
            faults: 0,
            mutant,
            ..WorldRules::new(Deployment::Pahana, 1)
        });
        world.queue.clear();
        world.events.clear();
        let (from, to) = (world.controllers[0].address, world.controllers[1].address);
        Pair {
            world,
            from,
            to,
            arrived: vec![],
        }
    }
    fn send(&mut self, round: u64) {
        let message = Message::PlanRequest {
            epoch: ConfigEpoch(round),
            offset: 0,
            have: ConfigEpoch(0),
        };
        self.world.post(self.from, self.to, false, message);
    }
    fn cut(&mut self, is_cut: bool) {
        for pair in [(self.from, self.to), (self.to, self.from)] {
            if is_cut {
                self.world.cut.insert(pair);
            } else {
                self.world.cut.remove(&pair);
            }
        }
    }
    fn run_until(&mut self, end: u64) {
        while let Some(&Reverse((at, number))) = self.world.queue.peek() {
            if at > end {
                break;
            }
            self.world.queue.pop();
            self.world.now = at;
            match self.world.events.remove(&number) {
                Some(Event::Message {
                    message: Message::PlanRequest { epoch, .. },
                    ..
                }) => {
                    self.arrived.push((epoch.0, at));
                }
                Some(other) => self.world.handle_event(other),
                None => {}
            }
        }
        self.world.now = end;
    }
    fn rounds(&self) -> Vec<u64> {
        self.arrived.iter().map(|(round, _)| *round).collect()
    }
}

#[test]
fn after_a_short_cut_letters_arrive_once_the_pause_is_over() {
    let mut pair = Pair::new(None);
    pair.send(1);
    pair.run_until(100);
    pair.cut(true);
    pair.send(2);
    pair.run_until(700);
    // Sent again at 300 and at 700 ms; the next time is at 1500.
    pair.cut(false);
    pair.send(3);
    pair.run_until(1499);
    assert_eq!(
        pair.rounds(),
        [1],
        "the connection stands still though its path is whole"
    );
    pair.run_until(1600);
    let mut late = pair.rounds();
    late.sort_unstable();
    assert_eq!(late, [1, 2, 3]);
}

#[test]
fn a_connection_that_was_dead_for_too_long_is_given_up_and_a_new_one_works_at_once() {
    let mut pair = Pair::new(None);
    pair.send(1);
    pair.run_until(100);
    pair.cut(true);
    pair.send(2);
    pair.run_until(17_000);
    pair.cut(false);
    pair.send(3);
    pair.run_until(17_010);
    assert_eq!(pair.rounds(), [1, 3], "what waited on the old one is lost");
}

#[test]
fn without_a_bound_it_stands_still_for_nearly_as_long_as_the_cut_lasted() {
    let mut pair = Pair::new(Some(Mutant::PatientLines));
    pair.send(1);
    pair.run_until(100);
    pair.cut(true);
    pair.send(2);
    pair.run_until(17_000);
    pair.cut(false);
    pair.send(3);
    pair.run_until(25_400);
    assert_eq!(pair.rounds(), [1]);
    pair.run_until(26_000);
    assert_eq!(pair.rounds().len(), 3);
}

#[test]
fn a_process_that_came_back_resets_what_its_predecessor_had() {
    let mut pair = Pair::new(None);
    pair.send(1);
    pair.world.controllers[1].incarnation += 1;
    pair.send(2);
    pair.send(3);
    pair.run_until(50);
    let mut rounds = pair.rounds();
    rounds.sort_unstable();
    assert_eq!(rounds, [1, 3]);
}

#[test]
fn a_reset_loses_what_waits() {
    let mut pair = Pair::new(None);
    pair.send(1);
    pair.run_until(100);
    pair.cut(true);
    pair.send(2);
    let pairs = [(pair.from, pair.to)];
    pair.world.reset_between(&pairs);
    pair.cut(false);
    pair.send(3);
    pair.run_until(60_000);
    assert_eq!(pair.rounds(), [1, 3]);
}
