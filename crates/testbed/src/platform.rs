use placement::ServerEntry;
use router::ServerListReport;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use transport::{Gate, GateBounds, GateCloser, Response};
use types::{Address, Clock, Moment, ServerName, Span};

/// The platform's list of servers, which lags behind what is true.
pub struct Platform {
    /// Where it listens.
    pub address: Address,
    inside: Arc<Mutex<Inside>>,
    closer: GateCloser,
}

struct Inside {
    lag: Span,
    /// The list as it was from each moment on, oldest first; never empty.
    lists: VecDeque<(Moment, Vec<ServerEntry>)>,
}

impl Platform {
    /// Starts one there with this lag.
    pub fn start(
        address: Address,
        lag: Span,
        servers: Vec<ServerEntry>,
    ) -> std::io::Result<Platform> {
        let gate = Gate::open(address.0, GateBounds::default())?;
        let inside = Arc::new(Mutex::new(Inside {
            lag,
            lists: VecDeque::from([(Moment(0), servers)]),
        }));
        let (address, closer, shown) = (gate.address(), gate.closer(), inside.clone());
        std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || {
                gate.serve(move |request| {
                    if request.path != "/servers" {
                        return Response::json(404, &serde_json::json!({}));
                    }
                    let mut inside = shown.lock().expect("no thread panics with it");
                    let seen = Clock::now() - inside.lag;
                    while inside.lists.get(1).is_some_and(|(from, _)| *from <= seen) {
                        inside.lists.pop_front();
                    }
                    let servers = inside
                        .lists
                        .front()
                        .map(|(_, list)| list.clone())
                        .unwrap_or_default();
                    Response::json(200, &ServerListReport { servers })
                });
            })?;
        Ok(Platform {
            address,
            inside,
            closer,
        })
    }
    /// Changes the list; it shows after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ServerEntry>)) {
        let mut inside = self.inside.lock().expect("no thread panics with it");
        let mut list = inside
            .lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut list);
        inside.lists.push_back((Clock::now(), list));
    }
    /// Marks a server as leaving.
    pub fn leave(&self, server: &ServerName) {
        self.change(|list| {
            list.iter_mut()
                .filter(|e| e.server == *server)
                .for_each(|e| e.is_leaving = true)
        });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.closer.close();
    }
}
