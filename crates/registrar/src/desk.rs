use crate::core_line::OPERATOR_PATIENCE;
use crate::prelude::*;

/// What an operator's call asks for, in whatever dialect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskCall {
    /// Take a whole plan.
    Plan {
        /// As sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Change the plan.
    Change {
        /// As sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Give the newest plan.
    ReadPlan,
    /// Give a zone no new work.
    Withdraw {
        /// The zone.
        hall: HallName,
    },
    /// Give a zone work again.
    Restore {
        /// The zone.
        hall: HallName,
    },
    /// Whether this registrar serves the core.
    Readiness,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskAnswer {
    /// It is done, or so it is.
    Done,
    /// The newest plan, as it was taken.
    Plan(Vec<u8>),
    /// Not done, or not known to be.
    Refused {
        /// The numbered result.
        code: ResultCode,
        /// More about it.
        why: String,
        /// The plan's faults.
        faults: Vec<Fault>,
    },
}

/// How operators' calls and their answers look.
pub trait DeskDialect: Send + Sync {
    /// Reads a call; `None` if it is none of the dialect's, an answer at once if it can't be read.
    fn read(&self, order: &Order) -> Result<Option<DeskCall>, Box<Reply>>;
    /// Writes its answer.
    fn write(&self, answer: DeskAnswer) -> Reply;
    /// How long whoever sent a call of so many bytes waits for its answer. Nothing is begun for it after that.
    fn patience(&self, _body_bytes: usize) -> Span {
        OPERATOR_PATIENCE
    }
}

fn refused(code: ResultCode, why: impl Into<String>, faults: Vec<Fault>) -> DeskAnswer {
    DeskAnswer::Refused { code, why: why.into(), faults }
}

/// The core's words as an answer.
fn answer_of(status: u16, body: &[u8]) -> DeskAnswer {
    if status == 200 {
        return DeskAnswer::Done;
    }
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let is_code = |code: &&ResultCode| value["code"].as_u64() == Some(u64::from(code.number()));
    let code = ResultCode::ALL.iter().find(is_code).copied().unwrap_or(ResultCode::FateUnknown);
    refused(code, value["why"].as_str().unwrap_or_default(), vec![])
}

/// The same call at any time and any registrar has the same id.
fn id_of(kind: &str, bytes: &[u8], base: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(kind.as_bytes()).update(&base.to_be_bytes()).update(bytes);
    format!("{kind}-{base}-{}", &hasher.finalize().to_hex()[..32])
}

impl CoreLine {
    fn answer(&self, ask: OperatorAsk, attempt: &Attempt) -> DeskAnswer {
        match self.ask(ask, attempt) {
            Ok((status, body)) => answer_of(status, &body),
            Err(_) => refused(ResultCode::CoreNotReady, "no answer in time", vec![]),
        }
    }

    fn propose(&self, id: String, motion: Motion, attempt: &Attempt) -> DeskAnswer {
        self.answer(OperatorAsk::Propose(Proposal { id, builds_on: None, seen: Epoch(0), motion }), attempt)
    }

    /// Proposes what a document came to. One with faults now may have been accepted when it was first
    /// sent.
    fn propose_plan(
        &self,
        id: String,
        motion: Result<Motion, Vec<Fault>>,
        halls: &[HallName],
        attempt: &Attempt,
    ) -> DeskAnswer {
        let faults = match motion {
            Ok(motion) => return self.propose(id, motion.with_halls(halls), attempt),
            Err(faults) => faults,
        };
        match self.ask(OperatorAsk::Read(Reading::Fate { id }), attempt) {
            Ok((200, _)) => DeskAnswer::Done,
            _ => refused(ResultCode::BadPlan, "nothing changed", faults),
        }
    }

    /// Carries a call out for as long as its attempt lasts. `halls` may be withdrawn besides those that members
    /// and plans name.
    pub fn carry(
        &self,
        call: DeskCall,
        plans: &dyn PlanDialect,
        halls: &[HallName],
        is_ready: bool,
        attempt: &Attempt,
    ) -> DeskAnswer {
        match call {
            DeskCall::Plan { bytes, base } => {
                let id = id_of("plan", &bytes, base);
                match Motion::plan_in(plans, bytes, Some(base)) {
                    Ok(motion) => self.propose(id, motion.with_halls(halls), attempt),
                    Err(faults) => refused(ResultCode::BadPlan, "nothing changed", faults),
                }
            }
            DeskCall::Change { bytes, base } => {
                let id = id_of("change", &bytes, base);
                // Merged into the tail's plan: an older one would be a conflict that isn't one.
                let reading = Reading::Base { at_least: Epoch(u64::MAX) };
                match self.ask(OperatorAsk::Read(reading), attempt) {
                    Ok((200, body)) if body.len() >= 8 => {
                        let (epoch, plan) = body.split_at(8);
                        let epoch = Epoch(u64::from_be_bytes(epoch.try_into().unwrap_or_default()));
                        let motion = Motion::change_in(plans, bytes, epoch, plan, Some(base));
                        self.propose_plan(id, motion, halls, attempt)
                    }
                    Ok((status, body)) => answer_of(status, &body),
                    Err(_) => refused(ResultCode::CoreNotReady, "no answer in time", vec![]),
                }
            }
            DeskCall::ReadPlan => match self.ask(OperatorAsk::Read(Reading::Epoch { epoch: Epoch(0) }), attempt) {
                Ok((200, body)) => DeskAnswer::Plan(body),
                Ok((status, body)) => answer_of(status, &body),
                Err(_) => refused(ResultCode::CoreNotReady, "no answer in time", vec![]),
            },
            DeskCall::Withdraw { hall } => self.propose(chance_id(), Motion::Withdraw { hall }, attempt),
            DeskCall::Restore { hall } => self.propose(chance_id(), Motion::Restore { hall }, attempt),
            DeskCall::Readiness if is_ready => DeskAnswer::Done,
            DeskCall::Readiness => refused(ResultCode::CoreNotReady, "not in the chain", vec![]),
        }
    }
}

/// Of a call that may be given any number of times.
fn chance_id() -> String {
    format!("c-{:032x}", u128::from_be_bytes(random_bytes()))
}
