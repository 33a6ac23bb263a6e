//! Operators: plans, races, storms, withdrawals, reads.

use super::*;
use circular::prelude::Reading;

/// What operators asked and were told.
#[derive(Default)]
pub(super) struct Operators {
    pub asked: BTreeMap<u64, Asked>,
    next: u64,
    pub epoch: u64,
    /// The plan that the last change was merged into.
    base: Vec<u8>,
    /// A zone that may be withdrawn; it stays here until its restoring was accepted.
    pub withdrawn: Option<HallName>,
    pub storm_until: u64,
}

pub(super) struct Asked {
    pub at: u64,
    pub id: String,
    pub motion: Option<Motion>,
    pub newest_told: u64,
    /// Criers that were lost when it was asked.
    pub lost: Vec<Address>,
}

impl World {
    pub(super) fn on_operate(&mut self) {
        let end = self.rules.span.0 + self.rules.calm.0;
        let is_storm = self.now < self.operators.storm_until;
        let gap = if is_storm { 15 + self.below(30) } else { 300 + self.below(1500) };
        if self.now + gap + 9000 < end || self.operators.epoch == 0 {
            self.put(gap, Happening::Operate);
        }
        if self.operators.epoch == 0 {
            return self.propose_plan(0, true);
        }
        match self.below(10) {
            0..3 => {
                let builds_on = self.operators.epoch;
                let allows_extra = self.chance(50);
                self.propose_plan(builds_on, allows_extra);
                if self.chance(50) {
                    // Another operator looked at the same epoch.
                    self.propose_plan(builds_on, !allows_extra);
                }
            }
            7 | 8 => self.propose_change(),
            3 | 4 => {
                let motion = match self.operators.withdrawn.clone() {
                    Some(hall) => Motion::Restore { hall },
                    None => {
                        let halls = self.rules.deployment.shape().halls;
                        let hall = HallName::from(halls[self.below(halls.len() as u64) as usize]);
                        self.operators.withdrawn = Some(hall.clone());
                        Motion::Withdraw { hall }
                    }
                };
                self.ask(None, Some(motion));
            }
            _ => self.ask(None, None),
        }
    }

    fn propose_plan(&mut self, builds_on: u64, allows_extra: bool) {
        let number = self.draw() % 1_000_000;
        let btb = self.rules.btb.clone();
        let stream = |is_resumable: bool| serde_json::json!({"resumable": is_resumable, "slots": 16, "first_token_ms": 4000, "btb": btb});
        let mut services = serde_json::json!({
            "drafts": stream(true), "questions": stream(false),
            "pages": {"kind": "fetch", "pool": "app", "idempotent": true, "slots": 64},
        });
        if allows_extra {
            // Now and then it may be repeated; the checkers take it from the plans in force.
            services["extra"] = stream(true);
            services["extra"]["idempotent"] = self.chance(50).into();
        }
        let padding = if self.chance(self.rules.large_plans) { "x".repeat(600_000) } else { String::new() };
        let plan = serde_json::json!({"services": services, "note": format!("{number}{padding}")});
        let motion = Motion::plan(plan.to_string().into_bytes()).expect("the simulator's plans are good");
        self.ask(Some(builds_on), Some(motion));
    }

    fn lost(&self) -> Vec<Address> {
        self.criers.iter().filter(|m| m.is_lost).map(|m| m.address).collect()
    }

    /// Has the lost forgotten; the second time one that lives is named besides, and must not be.
    pub(super) fn on_forget(&mut self, step: usize) {
        let mut members = self.lost();
        if members.is_empty() {
            return;
        }
        let now = self.now;
        let is_well = |m: &&CrierMachine| m.node.is_some() && now >= m.frozen_until && !m.is_cut_off;
        if step == 1 && self.cut.is_empty() && self.loss == 0 {
            members.extend(self.criers.iter().find(is_well).map(|m| m.address));
        }
        self.ask(None, Some(Motion::Forget { members }));
    }

    /// A change, merged where a registrar has the plan that the operator looked at, as its door does.
    fn propose_change(&mut self) {
        let builds_on = self.operators.epoch;
        let ledgers = self.registrars.iter().filter_map(|m| m.office.as_ref()).map(|office| office.fellow().charge());
        let Some((base, plan)) =
            ledgers.filter(|l| l.epoch.0 >= builds_on).map(|l| (l.plan_epoch, l.plan.clone())).next()
        else {
            return;
        };
        let number = self.draw() % 1_000_000;
        let is_kept = self.chance(50);
        let change = serde_json::json!({"services": {"extra": {"resumable": true, "idempotent": is_kept}}, "n": null,
            "note": format!("changed {number}")});
        if let Ok(motion) = Motion::change(change.to_string().into_bytes(), base, &plan) {
            self.operators.base = plan;
            self.ask(Some(builds_on), Some(motion));
        }
    }

    /// Asks some registrar that is up: to change something, or else what is newest.
    pub(super) fn ask(&mut self, builds_on: Option<u64>, motion: Option<Motion>) {
        let up: Vec<usize> =
            (0..self.registrars.len()).filter(|place| self.registrars[*place].office.is_some()).collect();
        if up.is_empty() {
            return;
        }
        let machine = up[self.below(up.len() as u64) as usize];
        if self.now < self.registrars[machine].frozen_until {
            return;
        }
        self.operators.next += 1;
        let number = self.operators.next;
        let id = format!("op-{number}");
        let ask = match &motion {
            Some(motion) => {
                self.witness.proposed(self.now, &id, motion, &self.operators.base);
                let builds_on = builds_on.map(Epoch);
                OperatorAsk::Propose(Proposal { id: id.clone(), builds_on, seen: Epoch(0), motion: motion.clone() })
            }
            None => OperatorAsk::Read(Reading::Latest),
        };
        let newest_told = self.witness.newest_told;
        let lost = self.lost();
        self.operators.asked.insert(number, Asked { at: self.now, id, motion, newest_told, lost });
        self.step_office(machine, OfficeInput::Operator { number, ask });
    }

    pub(super) fn on_operator_reply(&mut self, number: u64, status: u16, body: &[u8]) {
        let Some(asked) = self.operators.asked.remove(&number) else { return };
        let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let epoch = value["epoch"].as_u64().unwrap_or(0);
        match asked.motion {
            Some(motion) => {
                let code = value["code"].as_u64().unwrap_or(0);
                let is_accepted = code == u64::from(ResultCode::Accepted.number());
                self.witness.operator_told(self.now, asked.at, &asked.id, code, epoch);
                if is_accepted {
                    if let Motion::Forget { members } = &motion {
                        // Who was lost when it was asked may have come back since.
                        let is_wrong = |m: &&CrierMachine| {
                            members.contains(&m.address) && !m.is_lost && !asked.lost.contains(&m.address)
                        };
                        if let Some(living) = self.criers.iter().find(is_wrong).map(|m| m.address)
                            && asked.at + 200 > self.now
                        {
                            self.witness.violate(self.now, format!("{living} lives and was forgotten"));
                        }
                    }
                    if let Motion::Restore { hall } = &motion
                        && self.operators.withdrawn.as_ref() == Some(hall)
                    {
                        self.operators.withdrawn = None;
                    }
                    self.operators.epoch = self.operators.epoch.max(epoch);
                    self.strike_after_ack();
                }
            }
            None if status == 200 => {
                self.operators.epoch = self.operators.epoch.max(epoch);
                if epoch < asked.newest_told {
                    let newest = asked.newest_told;
                    self.witness.violate(self.now, format!("a read gave epoch {epoch} after {newest} was told"));
                }
            }
            None => {}
        }
    }
}
