use crate::ports::free_ports;
use crate::stand_in::RunLog;
use config::{ServicePlan, parse_plan};
use loadgen::{Outcome, Report, RequestRecord};
use simulator::{Deployment, Shape};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use transport::{HttpClientError, http_get, http_request, read_all};
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// A process of the fleet.
pub struct Daemon {
    /// Its name, such as `router-2`.
    pub name: String,
    /// Where it's reached over HTTP.
    pub listen: Address,
    /// Where its kind reaches it.
    pub inner: Address,
    /// Its zone.
    pub zone: String,
    command: DaemonCommand,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// How a process is started.
#[derive(Debug, Clone)]
pub struct DaemonCommand {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Variables that are added to its environment.
    pub environment: Vec<(String, String)>,
}

impl DaemonCommand {
    /// The product's own program of this kind, with these settings.
    fn of_program(program: PathBuf, settings: &Path) -> DaemonCommand {
        let settings = settings.to_string_lossy().into_owned();
        DaemonCommand {
            program,
            arguments: vec!["serve".into(), "--settings".into(), settings],
            environment: vec![],
        }
    }
}

/// How a fleet is to be.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Lines added to each router's settings.
    pub router_settings: String,
    /// Where the daemons' programs are.
    pub programs: PathBuf,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let own = std::env::current_exe().unwrap_or_default();
        // A test's program lies one folder further down than the daemons'.
        let folder = own.parent().map(Path::to_owned).unwrap_or_default();
        let programs = if folder.ends_with("deps") {
            folder.join("..")
        } else {
            folder
        };
        FleetOptions {
            router_settings: String::new(),
            programs,
        }
    }
}

/// The tail settles a membership that enough members know with its next clock event, and tries again every 400 ms:
/// an epoch that stands for longer is the settled one's.
const SETTLED_AFTER: Milliseconds = Milliseconds(2000);

/// How long a controller is waited for when its beliefs are kept with the logs of a failed test.
const BELIEFS_PATIENCE: Milliseconds = Milliseconds(1000);

/// How long a frozen process may take until all of its threads stand still.
const STOP_PATIENCE: Milliseconds = Milliseconds(2000);

/// All daemons of a deployment, on loopback. Ended when dropped.
pub struct Fleet {
    /// Controllers, with their folders under `folder`.
    pub controllers: Vec<Daemon>,
    /// Controllers without a disk, if any were added.
    pub relays: Vec<Daemon>,
    /// Routers.
    pub routers: Vec<Daemon>,
    /// Settings, logs and data.
    pub folder: PathBuf,
    _temporary: Option<tempfile::TempDir>,
}

/// The plan that a deployment starts with.
pub fn plan_of(deployment: Deployment, is_btb_on: bool) -> String {
    let btb = serde_json::json!({"on": is_btb_on});
    let stream = |resumable: bool, first_token_ms: u64| {
        serde_json::json!({
            "pool": "model", "resumable": resumable,
            "first_token_ms": first_token_ms, "slots": 16, "btb": btb,
        })
    };
    let fetch = serde_json::json!({"kind": "fetch", "pool": "app", "idempotent": true, "first_token_ms": 1000, "slots": 64});
    let services = match deployment {
        Deployment::Pahana => {
            serde_json::json!({"drafts": stream(true, 4000), "questions": stream(false, 2000), "pages": fetch})
        }
        Deployment::Valodu => {
            serde_json::json!({"reviews": stream(true, 4000), "hints": stream(false, 2000), "checks": fetch})
        }
    };
    serde_json::json!({"services": services, "note": "first plan"}).to_string()
}

impl Daemon {
    /// A process that is not started yet, and that logs to `log`.
    pub fn new(
        name: &str,
        zone: &str,
        listen: Address,
        inner: Address,
        command: DaemonCommand,
        log: PathBuf,
    ) -> Daemon {
        Daemon {
            name: name.to_owned(),
            listen,
            inner,
            zone: zone.to_owned(),
            command,
            settings: PathBuf::new(),
            log,
            child: None,
        }
    }
    /// Starts the process; its log goes on in the same file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.command.program)
            .args(&self.command.arguments)
            .envs(self.command.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }
    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
    /// Its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    fn signal(&self, signal: rustix::process::Signal) {
        if let Some(child) = &self.child
            && let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32)
        {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
    /// Freezes it, and returns once all of its threads stand still.
    pub fn freeze(&self) {
        self.signal(rustix::process::Signal::STOP);
        let deadline = Clock::now() + STOP_PATIENCE;
        while self.is_running_somewhere() && Clock::now() < deadline {
            std::thread::yield_now();
        }
    }
    /// Whether any thread of the process isn't stopped, by the state in its `stat` file.
    fn is_running_somewhere(&self) -> bool {
        let Some(pid) = self.pid() else {
            return false;
        };
        let threads = std::fs::read_dir(format!("/proc/{pid}/task"))
            .into_iter()
            .flatten()
            .flatten();
        let is_stopped = |stat: String| {
            let state = stat.rsplit(')').next().unwrap_or_default().trim_start();
            state.starts_with('T')
        };
        threads
            .filter_map(|thread| std::fs::read_to_string(thread.path().join("stat")).ok())
            .any(|stat| !is_stopped(stat))
    }
    /// Wakes it.
    pub fn wake(&self) {
        self.signal(rustix::process::Signal::CONT);
    }
    /// Tells it that its settings have changed.
    pub fn announce_settings(&self) {
        self.signal(rustix::process::Signal::HUP);
    }
    /// Asks it to stop.
    pub fn request_stop(&self) {
        self.signal(rustix::process::Signal::TERM);
    }
    /// Waits for it to end; gives the exit code, or `None` when it had to be killed.
    pub fn wait(&mut self, patience: Milliseconds) -> Option<i32> {
        let deadline = Clock::now() + patience;
        while Clock::now() < deadline {
            match self.child.as_mut()?.try_wait() {
                Ok(Some(status)) => {
                    self.child = None;
                    return status.code();
                }
                Ok(None) => std::thread::sleep(Duration::from_millis(20)),
                Err(_) => break,
            }
        }
        self.kill();
        None
    }
    /// Whether it says that it's ready.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.listen);
        http_get(&url, Milliseconds(300), Milliseconds(300))
            .is_ok_and(|response| response.status() == 200)
    }
    /// What it says at a path, as JSON.
    pub fn get(&self, path: &str) -> Result<(u16, Vec<u8>), String> {
        self.ask("GET", path, vec![])
    }
    /// Asks it over HTTP.
    pub fn ask(&self, method: &str, path: &str, body: Vec<u8>) -> Result<(u16, Vec<u8>), String> {
        let url = format!("http://{}{path}", self.listen);
        let response = http_request(method, &url, body, Milliseconds(1000), Milliseconds(15_000))
            .map_err(|fault| fault.to_string())?;
        let status = response.status();
        read_all(response, 64 << 20)
            .map(|body| (status, body))
            .map_err(|fault| fault.to_string())
    }
    /// What it believes.
    pub fn believes(&self) -> serde_json::Value {
        let body = self
            .get("/v1/believes")
            .map(|(_, body)| body)
            .unwrap_or_default();
        serde_json::from_slice(&body).unwrap_or_default()
    }
    /// One of its counters.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self
            .get("/metrics")
            .map(|(_, body)| body)
            .unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let line = text
            .lines()
            .find(|line| line.split(' ').next() == Some(name));
        line.and_then(|line| line.split(' ').nth(1)?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Creates the folder, or a temporary one, which lasts as long as the second value.
fn open_folder(folder: Option<PathBuf>) -> std::io::Result<(PathBuf, Option<tempfile::TempDir>)> {
    match folder {
        Some(folder) => {
            std::fs::create_dir_all(&folder)?;
            Ok((folder, None))
        }
        None => {
            let temporary = tempfile::tempdir()?;
            Ok((temporary.path().to_owned(), Some(temporary)))
        }
    }
}

/// The controllers that each daemon's settings name as seeds.
const SEED_CONTROLLERS: usize = 3;

/// Where the daemons of a new fleet are and what their settings say.
struct FleetAddresses<'a> {
    shape: &'a Shape,
    platform: Address,
    folder: &'a Path,
    options: &'a FleetOptions,
    /// Two for each daemon, the controllers' first: for HTTP, and for the inner protocol.
    ports: &'a [u16],
}

impl FleetAddresses<'_> {
    /// Writes the settings of a controller, which is not started yet.
    fn controller(&self, number: usize) -> std::io::Result<Daemon> {
        let name = format!("controller-{number}");
        let data = self.folder.join(&name);
        let own_settings = format!(
            "folder = \"{}\"\nfounders = [{}]\n",
            data.display(),
            quoted(&self.founders())
        );
        self.daemon("controller", number, number, &own_settings)
    }

    /// Writes the settings of a router, which is not started yet.
    fn router(&self, number: usize) -> std::io::Result<Daemon> {
        let (platform, more) = (self.platform, &self.options.router_settings);
        let own_settings = format!("platform = \"{platform}\"\n{more}");
        let place = self.shape.controllers + number;
        self.daemon("router", number, place, &own_settings)
    }

    fn daemon(
        &self,
        kind: &str,
        number: usize,
        place: usize,
        own_settings: &str,
    ) -> std::io::Result<Daemon> {
        let name = format!("{kind}-{number}");
        let zone = self.shape.zones[number % self.shape.zones.len()].to_owned();
        let (listen, inner) = (self.address(place * 2), self.address(place * 2 + 1));
        let founders = self.founders();
        let seeds = quoted(&founders[..founders.len().min(SEED_CONTROLLERS)]);
        let text = format!(
            "listen = \"{listen}\"\ninner = \"{inner}\"\nzone = \"{zone}\"\nseeds = [{seeds}]\n{own_settings}"
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        Ok(Daemon {
            log: self.folder.join(format!("{name}.log")),
            command: DaemonCommand::of_program(self.options.programs.join(kind), &settings),
            name,
            listen,
            inner,
            zone,
            settings,
            child: None,
        })
    }

    /// The inner addresses of all controllers.
    fn founders(&self) -> Vec<String> {
        (0..self.shape.controllers)
            .map(|number| self.address(number * 2 + 1).to_string())
            .collect()
    }

    fn address(&self, place: usize) -> Address {
        Address::loopback(self.ports[place])
    }
}

/// The items of a list in TOML.
fn quoted(list: &[String]) -> String {
    let quoted: Vec<String> = list.iter().map(|item| format!("\"{item}\"")).collect();
    quoted.join(", ")
}

impl Drop for Fleet {
    /// Keeps a temporary folder, with all logs, when a test fails, and says where it is.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        if let Some(temporary) = self._temporary.take() {
            let folder = temporary.keep();
            self.note_beliefs(&folder);
            eprintln!("the fleet's logs are kept in {}", folder.display());
        }
    }
}

impl Fleet {
    /// Writes beside the logs what each controller believes now; one that doesn't answer leaves no file.
    fn note_beliefs(&self, folder: &Path) {
        for daemon in &self.controllers {
            let url = format!("http://{}/v1/believes", daemon.listen);
            let body = http_get(&url, BELIEFS_PATIENCE, BELIEFS_PATIENCE).and_then(|response| {
                read_all(response, 64 << 20)
                    .map_err(|error| HttpClientError::OutcomeUnknown(error.to_string()))
            });
            if let Ok(body) = body {
                let _ = std::fs::write(folder.join(format!("{}.believes.json", daemon.name)), body);
            }
        }
    }

    /// Writes the settings and starts all daemons. They go to `folder`, by default a temporary one. Fails if a file
    /// can't be written or a process can't be started.
    pub fn start(
        shape: &Shape,
        platform: Address,
        folder: Option<PathBuf>,
        options: &FleetOptions,
    ) -> std::io::Result<Fleet> {
        let (folder, temporary) = open_folder(folder)?;
        let ports = free_ports((shape.controllers + shape.routers) * 2)?;
        let addresses = FleetAddresses {
            shape,
            platform,
            folder: &folder,
            options,
            ports: &ports,
        };
        let mut controllers = (0..shape.controllers)
            .map(|number| addresses.controller(number))
            .collect::<std::io::Result<Vec<Daemon>>>()?;
        let mut routers = (0..shape.routers)
            .map(|number| addresses.router(number))
            .collect::<std::io::Result<Vec<Daemon>>>()?;
        for daemon in controllers.iter_mut().chain(&mut routers) {
            daemon.start()?;
        }
        Ok(Fleet {
            controllers,
            relays: vec![],
            routers,
            folder,
            _temporary: temporary,
        })
    }

    /// Starts an empty controller at new addresses that knows only the seeds; gives its place.
    pub fn add_controller(&mut self) -> std::io::Result<usize> {
        let name = format!("controller-{}", self.controllers.len());
        let data = self.folder.join(&name).display().to_string();
        let daemon = self.start_controller(name, &data)?;
        self.controllers.push(daemon);
        Ok(self.controllers.len() - 1)
    }

    /// Starts a controller without a disk at new addresses that knows only the seeds.
    pub fn add_relay(&mut self) -> std::io::Result<()> {
        let daemon = self.start_controller(format!("relay-{}", self.relays.len()), "")?;
        self.relays.push(daemon);
        Ok(())
    }

    fn start_controller(&self, name: String, data: &str) -> std::io::Result<Daemon> {
        let ports = free_ports(2)?;
        let (listen, inner) = (Address::loopback(ports[0]), Address::loopback(ports[1]));
        let seeds: Vec<Address> = self
            .controllers
            .iter()
            .take(3)
            .map(|controller| controller.inner)
            .collect();
        let zone = self.controllers[0].zone.clone();
        let text = format!(
            "listen = \"{listen}\"\ninner = \"{inner}\"\nzone = \"{zone}\"\n{}\nfolder = \"{data}\"\n",
            seeds_line(&seeds)
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let program = self.controllers[0].command.program.clone();
        let mut daemon = Daemon {
            name,
            listen,
            inner,
            zone,
            command: DaemonCommand::of_program(program, &settings),
            settings,
            log,
            child: None,
        };
        daemon.start()?;
        Ok(daemon)
    }

    /// Has the settings of all daemons name these seeds, from their next start on.
    pub fn name_seeds(&self, seeds: &[Address]) -> std::io::Result<()> {
        for daemon in self
            .controllers
            .iter()
            .chain(&self.relays)
            .chain(&self.routers)
        {
            let text = std::fs::read_to_string(&daemon.settings)?;
            let line = |line: &str| {
                if line.starts_with("seeds = ") {
                    seeds_line(seeds)
                } else {
                    line.to_owned()
                }
            };
            let lines: Vec<String> = text.lines().map(line).collect();
            std::fs::write(&daemon.settings, lines.join("\n") + "\n")?;
        }
        Ok(())
    }

    /// Kills all daemons, and starts them again.
    pub fn restart_all(&mut self) -> std::io::Result<()> {
        let mut all: Vec<&mut Daemon> = vec![];
        all.extend(&mut self.routers);
        all.extend(&mut self.relays);
        all.extend(&mut self.controllers);
        all.iter_mut().for_each(|daemon| daemon.kill());
        all.iter_mut().try_for_each(|daemon| daemon.start())
    }

    /// Waits until this holds, or the deadline passes.
    pub fn await_that(
        patience: Milliseconds,
        what: &str,
        mut holds: impl FnMut() -> bool,
    ) -> Result<Milliseconds, String> {
        let began = Clock::now();
        while Clock::now().since(began) < patience {
            if holds() {
                return Ok(Clock::now().since(began));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not within {} ms: {what}", patience.0))
    }

    /// Waits until the controllers form the chain.
    pub fn await_core(&self, patience: Milliseconds) -> Result<Milliseconds, String> {
        Self::await_that(patience, "all controllers in the chain", || {
            self.controllers.iter().all(Daemon::is_ready)
        })
    }
    /// Waits until the membership that the routers came into is settled. Until then the core takes no change without
    /// more than half of the *previous* members, and these may be one or two: a test that freezes one of them earlier
    /// freezes the majority itself. Nothing shows the previous members, so it waits until the tail knows that all
    /// members have its epoch, by which it may settle, and this epoch then stands for `SETTLED_AFTER`.
    pub fn await_settled_membership(&self, patience: Milliseconds) -> Result<Milliseconds, String> {
        let mut unchanged: Option<(u64, MonotonicInstant)> = None;
        Self::await_that(patience, "the membership is settled", || {
            let known = self.controllers.iter().find_map(|controller| {
                epoch_known_to_all(&controller.believes(), self.routers.len())
            });
            let now = Clock::now();
            unchanged = match (known, unchanged) {
                (Some(epoch), Some((old, since))) if epoch == old => Some((old, since)),
                (Some(epoch), _) => Some((epoch, now)),
                (None, _) => None,
            };
            unchanged.is_some_and(|(_, since)| now.since(since) >= SETTLED_AFTER)
        })
    }
    /// Waits until all routers take requests.
    pub fn await_routers(&self, patience: Milliseconds) -> Result<Milliseconds, String> {
        Self::await_that(patience, "all routers ready", || {
            self.routers.iter().all(Daemon::is_ready)
        })
    }
    /// Puts a plan in force, asking controllers in turn.
    pub fn put_plan(
        &self,
        id: &str,
        builds_on: u64,
        plan: &str,
    ) -> Result<serde_json::Value, String> {
        let mut last = String::new();
        for controller in self
            .controllers
            .iter()
            .cycle()
            .take(self.controllers.len() * 3)
        {
            match controller.ask(
                "PUT",
                &format!("/v1/plan?id={id}&builds_on={builds_on}"),
                plan.as_bytes().to_vec(),
            ) {
                Ok((200, body)) => {
                    return serde_json::from_slice(&body).map_err(|fault| fault.to_string());
                }
                Ok((status, body)) => last = format!("{status} {}", String::from_utf8_lossy(&body)),
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }
    /// The routers' listening addresses.
    pub fn clients_addresses(&self) -> Vec<Address> {
        self.routers.iter().map(|router| router.listen).collect()
    }
    /// Asks all to stop, routers first; gives the exit codes by name.
    pub fn stop(&mut self) -> BTreeMap<String, Option<i32>> {
        let mut codes = BTreeMap::new();
        for group in [&mut self.routers, &mut self.controllers] {
            group.iter().for_each(Daemon::request_stop);
            for daemon in group {
                codes.insert(daemon.name.clone(), daemon.wait(Milliseconds::seconds(20)));
            }
        }
        codes
    }
}

/// The epoch of a tail that believes this, if it counts so many members and each is known to have it.
fn epoch_known_to_all(believed: &serde_json::Value, members: usize) -> Option<u64> {
    let epoch = believed["epoch"].as_u64()?;
    let leases = believed["leases"].as_object()?;
    let do_all_know = believed["members"].as_array()?.iter().all(|member| {
        member
            .as_str()
            .and_then(|member| leases.get(member)?.as_u64())
            == Some(epoch)
    });
    let is_whole = believed["members"].as_array()?.len() == members;
    (believed["may_respond"] == true && is_whole && do_all_know).then_some(epoch)
}

/// The line of a settings file that names the seeds.
fn seeds_line(seeds: &[Address]) -> String {
    let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!("seeds = [{}]", quoted.join(", "))
}

/// Joins what clients were told with what servers took: what was refused must have run nowhere, and
/// what the plan that was in force does not let repeat must have run once.
pub fn join_logs(report: &mut Report, asked: &[RequestRecord], logs: &[RunLog], plan: &str) {
    let plan = parse_plan(plan.as_bytes()).expect("the fleet took it");
    let mut runs: HashMap<u64, u64> = HashMap::new();
    logs.iter()
        .for_each(|log| *runs.entry(log.print).or_default() += 1);
    let mut repeats = 0;
    for one in asked.iter().filter(|one| !one.service.is_empty()) {
        let count = runs.get(&one.print).copied().unwrap_or(0);
        repeats += count.saturating_sub(1);
        if matches!(one.outcome, Outcome::Refused(_)) && count > 0 {
            report.violations.push(format!(
                "{}: told refused, and a server ran it",
                one.service
            ));
        }
        if count > 1
            && !plan
                .services
                .get(&one.service)
                .is_some_and(ServicePlan::may_repeat)
        {
            report
                .violations
                .push(format!("{}: ran {count} times", one.service));
        }
    }
    report.at_servers.insert("runs".into(), logs.len() as u64);
    report.at_servers.insert("repeated runs".into(), repeats);
}
