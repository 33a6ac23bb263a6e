use placement::mix;

/// Whose traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum MixKind {
    /// Drafts, resident questions, board pages.
    Pahana,
    /// Lesson reviews, grammar hints, progress checks.
    Valodu,
}

/// One service's traffic.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The service.
    pub service: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Whether it's a plain fetch.
    pub is_fetch: bool,
    /// Bytes of the shared prefix.
    pub prefix_bytes: usize,
    /// How many prefixes there are.
    pub prefixes: u64,
    /// Bytes of a request's own.
    pub own_bytes: usize,
    /// Pieces asked for.
    pub pieces: u32,
}

/// A deployment's traffic, drawn from a seed.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Its services.
    pub shapes: Vec<Shape>,
    seed: u64,
    count: u64,
    /// Of the prompts with prefixes, this part has the one hot prefix of the present burst.
    pub hot_share: f64,
    /// How long a burst's prefix lasts, in ms.
    pub burst_ms: u64,
}

/// One request to come.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Its id.
    pub id: String,
    /// The service.
    pub service: &'static str,
    /// Whether it's a plain fetch.
    pub is_fetch: bool,
    /// The prompt.
    pub prompt: String,
    /// Pieces asked for.
    pub pieces: u32,
}

impl Mix {
    /// A deployment's traffic of today.
    pub fn new(kind: MixKind, seed: u64) -> Self {
        let shape = |service, rate, is_fetch, prefix_bytes, prefixes, own_bytes, pieces| Shape {
            service,
            rate,
            is_fetch,
            prefix_bytes,
            prefixes,
            own_bytes,
            pieces,
        };
        let shapes = match kind {
            MixKind::Pahana => vec![
                shape("drafts", 20.0, false, 6144, 12, 1500, 24),
                shape("questions", 80.0, false, 512, 40, 200, 8),
                shape("pages", 25.0, true, 0, 1, 0, 0),
            ],
            MixKind::Valodu => vec![
                shape("reviews", 20.0, false, 7168, 16, 1200, 24),
                shape("hints", 90.0, false, 640, 60, 160, 6),
                shape("checks", 30.0, true, 0, 1, 0, 0),
            ],
        };
        Mix {
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

    /// The next arrival: how long after the one before, and what.
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
