//! The traffic of a deployment, drawn from a seed.

use placement::mix;

/// The deployment whose traffic is played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum WorkloadKind {
    /// Drafts, resident questions, board pages.
    Pahana,
    /// Lesson reviews, grammar hints, progress checks.
    Valodu,
}

/// The traffic of one service.
#[derive(Debug, Clone)]
pub struct ServiceTraffic {
    /// The name of the service.
    pub service: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Whether a request only fetches a page.
    pub is_fetch: bool,
    /// Bytes of the prefix that prompts share.
    pub prefix_bytes: usize,
    /// The number of different prefixes.
    pub prefixes: u64,
    /// Bytes of a prompt after the prefix.
    pub own_bytes: usize,
    /// Tokens to generate.
    pub pieces: u32,
}

/// A deployment's traffic, drawn from a seed.
#[derive(Debug, Clone)]
pub struct Workload {
    /// The traffic of each service.
    pub shapes: Vec<ServiceTraffic>,
    seed: u64,
    count: u64,
    /// The share, 0 to 1, of the prompts with large prefixes that have the current burst's hot prefix;
    /// default 0.5.
    pub hot_share: f64,
    /// How long a burst with one hot prefix lasts, in ms; default 8000.
    pub burst_ms: u64,
}

/// One request to come.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// The id of the request, unique within the workload.
    pub id: String,
    /// The name of the service.
    pub service: &'static str,
    /// Whether a request only fetches a page.
    pub is_fetch: bool,
    /// The prompt, which contains the id.
    pub prompt: String,
    /// Tokens to generate.
    pub pieces: u32,
}

impl Workload {
    /// Returns a deployment's traffic.
    pub fn new(kind: WorkloadKind, seed: u64) -> Self {
        let shape =
            |service, rate, is_fetch, prefix_bytes, prefixes, own_bytes, pieces| ServiceTraffic {
                service,
                rate,
                is_fetch,
                prefix_bytes,
                prefixes,
                own_bytes,
                pieces,
            };
        let shapes = match kind {
            WorkloadKind::Pahana => vec![
                shape("drafts", 20.0, false, 6144, 12, 1500, 24),
                shape("questions", 80.0, false, 512, 40, 200, 8),
                shape("pages", 25.0, true, 0, 1, 0, 0),
            ],
            WorkloadKind::Valodu => vec![
                shape("reviews", 20.0, false, 7168, 16, 1200, 24),
                shape("hints", 90.0, false, 640, 60, 160, 6),
                shape("checks", 30.0, true, 0, 1, 0, 0),
            ],
        };
        Workload {
            shapes,
            seed,
            count: 0,
            hot_share: 0.5,
            burst_ms: 8000,
        }
    }

    fn draw(&mut self) -> u64 {
        self.count += 1;
        mix(self.seed ^ mix(self.count))
    }

    /// Between 0 and 1.
    fn part(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the next arrival: how long after the previous one, in ms, and the request.
    pub fn next(&mut self, at_ms: f64, scale: f64) -> (f64, PlannedRequest) {
        let total: f64 = self.shapes.iter().map(|shape| shape.rate).sum::<f64>() * scale;
        let gap = -(1.0 - self.part()).ln() / total * 1000.0;
        let mut pick = self.part() * total / scale;
        let mut place = 0;
        while place + 1 < self.shapes.len() && pick >= self.shapes[place].rate {
            pick -= self.shapes[place].rate;
            place += 1;
        }
        let shape = self.shapes[place].clone();
        let burst = (at_ms / self.burst_ms as f64) as u64;
        let is_hot = shape.prefix_bytes > 4096 && self.part() < self.hot_share;
        let prefix = if is_hot {
            1_000_000 + mix(self.seed ^ burst) % 1000
        } else {
            self.draw() % shape.prefixes
        };
        let id = format!("{}-{:x}-{}", shape.service, self.seed, self.count);
        let mut prompt = words(
            mix(prefix ^ mix(shape.prefix_bytes as u64)),
            shape.prefix_bytes,
        );
        prompt.push_str(&format!("\n{id}\n"));
        prompt.push_str(&words(self.draw(), shape.own_bytes));
        (
            gap,
            PlannedRequest {
                id,
                service: shape.service,
                is_fetch: shape.is_fetch,
                prompt,
                pieces: shape.pieces,
            },
        )
    }
}

/// Made-up words from a seed, exactly this many bytes.
fn words(seed: u64, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 16);
    let mut state = seed;
    while text.len() < bytes {
        state = mix(state);
        text.push_str(&format!("{:x} ", state >> 24));
    }
    text.truncate(bytes);
    text
}

#[cfg(test)]
mod tests;
