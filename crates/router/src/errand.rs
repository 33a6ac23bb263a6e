use crate::chart::{Chart, ChartInput, ChartOutput, Failure};
use crate::node::{Denial, Placing};
use types::{ResultCode, ServerName, Span};

/// What an errand is told.
#[derive(Debug, Clone)]
pub enum ErrandInput {
    /// The scheduler's word on where it goes.
    Scheduler(Result<Placing, Denial>),
    /// The node may not act at this moment.
    LoseLease,
    /// A newer epoch is in force than the one under which it was placed; no byte has left.
    Supersede,
    /// The asked server took it.
    Open,
    /// Asking the server failed in this way, for this reason.
    Fail(Failure, String),
    /// The stream that it gave broke, for this reason; what follows may be had elsewhere.
    Tear(String),
}

/// What an errand wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ErrandOutput {
    /// Ask the scheduler for a server.
    AskScheduler {
        /// Zero the first time.
        round: u32,
        /// Servers not to be asked again.
        tried: Vec<ServerName>,
        /// Whether one of them may have run it.
        may_have_run: bool,
    },
    /// Ask this server.
    AskServer(Placing),
    /// A server has it: carry its answer.
    Carry(Placing),
    /// Tell the client this, at once, as the final answer.
    Tell(Denial),
    /// Cut the client's connection: it must not take the answer for whole.
    Cut(String),
}

/// A request's way to the server that takes it, going on to others as far as its chart allows. The
/// carrier does what it wants; the simulator does, too.
///
/// Invariants: those of its [`Chart`]. Each server is asked at most once.
#[derive(Debug, Clone)]
pub struct Errand {
    chart: Chart,
    placed: Option<Placing>,
    tried: Vec<ServerName>,
    why: String,
    retry_after: Span,
}

impl Errand {
    /// For a request that was read; says what is to be done first.
    pub fn begin() -> (Errand, ErrandOutput) {
        Self::begin_with(Chart::default())
    }
    /// For one that at most this many servers may get.
    pub fn begin_bounded(most: u32) -> (Errand, ErrandOutput) {
        Self::begin_with(Chart::bounded(most))
    }
    fn begin_with(mut chart: Chart) -> (Errand, ErrandOutput) {
        chart.step(ChartInput::Admit);
        let errand = Errand {
            chart,
            placed: None,
            tried: vec![],
            why: String::new(),
            retry_after: Span(0),
        };
        let first = errand.ask_scheduler();
        (errand, first)
    }
    /// Its chart.
    pub fn chart(&self) -> &Chart {
        &self.chart
    }
    /// What happens to the answer that a server gives.
    pub fn carried(&mut self, input: ChartInput) -> ChartOutput {
        self.chart.step(input)
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, input: ErrandInput) -> ErrandOutput {
        let output = match input {
            ErrandInput::Scheduler(Ok(placing)) => {
                let may_repeat = placing.may_repeat;
                self.placed = Some(placing);
                self.chart.step(ChartInput::Place { may_repeat })
            }
            ErrandInput::Scheduler(Err(denial)) => {
                // The first word on why counts: that no further server was found says less.
                if self.why.is_empty() {
                    self.why = denial.why;
                }
                self.retry_after = denial.retry_after;
                self.chart.step(ChartInput::Deny(denial.code))
            }
            ErrandInput::LoseLease => {
                self.why = "this node's lease ran out before the request was sent".into();
                self.chart.step(ChartInput::LoseLease)
            }
            ErrandInput::Supersede => self.chart.step(ChartInput::Supersede),
            ErrandInput::Open => self.chart.step(ChartInput::Open),
            ErrandInput::Fail(failure, why) => {
                self.why = why;
                self.tried
                    .extend(self.placed.as_ref().map(|placing| placing.server.clone()));
                self.chart.step(ChartInput::Fail(failure))
            }
            ErrandInput::Tear(why) => {
                self.why = why;
                self.tried
                    .extend(self.placed.as_ref().map(|placing| placing.server.clone()));
                self.chart.step(ChartInput::Tear)
            }
        };
        match (output, &self.placed) {
            (ChartOutput::AskScheduler, _) => self.ask_scheduler(),
            (ChartOutput::AskServer, Some(placing)) => ErrandOutput::AskServer(placing.clone()),
            (ChartOutput::Carry, Some(placing)) => ErrandOutput::Carry(placing.clone()),
            (ChartOutput::Tell(code), _) => self.tell(code),
            (ChartOutput::Cut, _) => ErrandOutput::Cut(self.why.clone()),
            // Nothing else comes of these inputs; were it so, nobody could say what ran.
            _ => self.tell(ResultCode::Unknown),
        }
    }

    fn ask_scheduler(&self) -> ErrandOutput {
        let (round, tried, may_have_run) = (
            self.chart.rounds(),
            self.tried.clone(),
            self.chart.may_have_run(),
        );
        ErrandOutput::AskScheduler {
            round,
            tried,
            may_have_run,
        }
    }

    fn tell(&self, code: ResultCode) -> ErrandOutput {
        ErrandOutput::Tell(Denial {
            code,
            why: self.why.clone(),
            retry_after: self.retry_after,
        })
    }
}
