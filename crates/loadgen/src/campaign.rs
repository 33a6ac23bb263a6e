use crate::asker::{Asked, ask};
use crate::mix::Mix;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use types::{Address, Milliseconds};

/// How a campaign goes.
#[derive(Debug, Clone)]
pub struct CampaignRules {
    /// Where the routers listen.
    pub routers: Vec<Address>,
    /// For this long.
    pub span: Milliseconds,
    /// Times today's rates.
    pub scale: f64,
    /// Requests in hand at most; those beyond are counted as late.
    pub in_hand: usize,
}

/// A campaign of requests that arrive whether or not the ones before were replied.
pub struct Campaign {
    mix: Mix,
    rules: CampaignRules,
    stop: Arc<AtomicBool>,
}

impl Campaign {
    /// Of this traffic.
    pub fn new(mix: Mix, rules: CampaignRules) -> Self {
        Campaign {
            mix,
            rules,
            stop: Arc::default(),
        }
    }
    /// Set to end it early.
    pub fn stop(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }
    /// Sends all, waits for the answers, gives the requests and how many could not be sent in time.
    pub fn run(mut self) -> (Vec<Asked>, u64) {
        let routers = Arc::new(self.rules.routers.clone());
        let in_hand = Arc::new(AtomicUsize::new(0));
        let (done, results) = flume::unbounded();
        let began = Instant::now();
        let (mut at, mut late, mut turn) = (0.0, 0, 0);
        while !self.stop.load(Ordering::Relaxed) {
            let (gap, planned) = self.mix.next(at, self.rules.scale);
            at += gap;
            if at >= self.rules.span.0 as f64 {
                break;
            }
            let deadline = began + Duration::from_secs_f64(at / 1000.0);
            std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
            if in_hand.fetch_add(1, Ordering::Relaxed) >= self.rules.in_hand {
                in_hand.fetch_sub(1, Ordering::Relaxed);
                late += 1;
                continue;
            }
            turn += 1;
            let (routers, count, done) = (routers.clone(), in_hand.clone(), done.clone());
            let spawned = std::thread::Builder::new()
                .name("asker".into())
                .stack_size(256 << 10)
                .spawn(move || {
                    let _ = done.send(ask(&planned, &routers, turn));
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            if spawned.is_err() {
                in_hand.fetch_sub(1, Ordering::Relaxed);
                late += 1;
            }
        }
        drop(done);
        (results.iter().collect(), late)
    }
}
