//! The two deployments, their shapes and their traffic.

use loadgen::WorkloadKind;

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
    pub fn mix(self) -> WorkloadKind {
        match self {
            Deployment::Pahana => WorkloadKind::Pahana,
            Deployment::Valodu => WorkloadKind::Valodu,
        }
    }
}
