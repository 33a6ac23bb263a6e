use crate::platform::Platform;
use crate::stand_in::{RunLog, StandIn};
use placement::ServerEntry;
use simulator::{ScheduleRules, Shape};
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, Milliseconds, ZoneName};

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
