use crate::platform::Platform;
use crate::schedule::ScheduleRules;
use crate::stand_in::{RunLog, StandIn};
use loadgen::MixKind;
use placement::ServerEntry;
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, Milliseconds, ZoneName};

/// Whose fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Deployment {
    /// Three zones, three disk machines, nine model and three app servers.
    Pahana,
    /// Four zones, four disk machines, nine model and four app servers.
    Valodu,
}

/// How many of everything.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The zones.
    pub zones: Vec<&'static str>,
    /// Machines with disks, each with a controller.
    pub controllers: usize,
    /// The other machines, each with a router.
    pub routers: usize,
    /// Model servers.
    pub models: usize,
    /// App servers.
    pub apps: usize,
}

impl Deployment {
    /// Its shape: a dozen machines.
    pub fn shape(self) -> Shape {
        match self {
            Deployment::Pahana => Shape {
                zones: vec!["east", "middle", "west"],
                controllers: 3,
                routers: 9,
                models: 9,
                apps: 3,
            },
            Deployment::Valodu => Shape {
                zones: vec!["hill", "river", "shore", "town"],
                controllers: 4,
                routers: 8,
                models: 9,
                apps: 4,
            },
        }
    }
    /// Its traffic.
    pub fn mix(self) -> MixKind {
        match self {
            Deployment::Pahana => MixKind::Pahana,
            Deployment::Valodu => MixKind::Valodu,
        }
    }
}

/// Servers and the platform, in this process.
pub struct ProcessGroup {
    /// The platform.
    pub platform: Platform,
    /// Model servers.
    pub models: Vec<StandIn>,
    /// App servers.
    pub apps: Vec<StandIn>,
}

impl ProcessGroup {
    /// Starts all at free ports, zone by zone in turn, long warmed up.
    pub fn start(shape: &Shape, rules: &ScheduleRules) -> std::io::Result<ProcessGroup> {
        let zone = |place: usize| ZoneName::from(shape.zones[place % shape.zones.len()]);
        let mut server_list = vec![];
        let mut start = |count: usize, pool: &str, first: u64| {
            (0..count)
                .map(|place| {
                    let age = Milliseconds::seconds(600);
                    let server = StandIn::start(
                        Address::loopback(0),
                        rules.clone(),
                        first + place as u64,
                        age,
                    )?;
                    let (zone, pool) = (zone(place), pool.to_owned());
                    server_list.push(ServerEntry {
                        server: server.name(),
                        zone,
                        pool,
                        is_draining: false,
                        ..ServerEntry::default()
                    });
                    Ok(server)
                })
                .collect::<std::io::Result<Vec<StandIn>>>()
        };
        let models = start(shape.models, "model", 1)?;
        let apps = start(shape.apps, "app", 101)?;
        let platform = Platform::start(Address::loopback(0), Milliseconds(700), server_list)?;
        Ok(ProcessGroup {
            platform,
            models,
            apps,
        })
    }
    /// For each service: how often servers were asked, whatever they made of it, and for how many requests.
    pub fn asks(&self) -> BTreeMap<String, (u64, u64)> {
        let mut requests: BTreeMap<String, (u64, BTreeSet<u64>)> = BTreeMap::new();
        for (service, print) in self
            .models
            .iter()
            .chain(&self.apps)
            .flat_map(StandIn::asked)
        {
            let (asks, prints) = requests.entry(service).or_default();
            *asks += 1;
            prints.insert(print);
        }
        requests
            .into_iter()
            .map(|(service, (asks, prints))| (service, (asks, prints.len() as u64)))
            .collect()
    }
    /// All that model servers took.
    pub fn logs(&self) -> Vec<RunLog> {
        self.models.iter().flat_map(StandIn::log).collect()
    }
}
