//! Many nodes without clients: the routers' own control state and inner protocol, real controllers, loopback.

mod costs;
mod events;
pub(crate) mod host;
mod host_process;
mod measurement;
mod observations;
mod pages;
mod progress;
mod protocol;
mod report;
mod rules;
mod run;
mod start;
pub(crate) mod threads;

pub use pages::plot;
pub use report::HollowReport;
pub use rules::HollowRules;
pub use run::hollow;

#[cfg(test)]
mod tests;
