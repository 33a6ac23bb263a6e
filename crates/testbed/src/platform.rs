use placement::ServerEntry;
use router::ServerListReport;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use transport::{HttpServer, HttpServerBounds, HttpServerCloser, Response};
use types::{Address, Clock, Milliseconds, MonotonicInstant, ServerName};

/// The platform's list of servers, which lags behind what is true.
pub struct Platform {
    /// Where it listens.
    pub address: Address,
    inside: Arc<Mutex<Inside>>,
    closer: HttpServerCloser,
}

struct Inside {
    lag: Milliseconds,
    /// The list as it was from each moment on, oldest first; never empty.
    lists: VecDeque<(MonotonicInstant, Vec<ServerEntry>)>,
}

impl Platform {
    /// Starts one there with this lag.
    pub fn start(
        address: Address,
        lag: Milliseconds,
        servers: Vec<ServerEntry>,
    ) -> std::io::Result<Platform> {
        let http_server = HttpServer::open(address.0, HttpServerBounds::default())?;
        let inside = Arc::new(Mutex::new(Inside {
            lag,
            lists: VecDeque::from([(MonotonicInstant(0), servers)]),
        }));
        let (address, closer, shown) =
            (http_server.address(), http_server.closer(), inside.clone());
        std::thread::Builder::new()
            .name("platform".into())
            .spawn(move || {
                http_server.serve(move |request| {
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
                .for_each(|e| e.is_draining = true);
        });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.closer.close();
    }
}
