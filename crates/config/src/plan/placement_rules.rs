use crate::plan::schema::{BtbPlan, Plan, ServicePlan};
use placement::{BtbRules, Rules, ServiceRules};
use types::{ConfigEpoch, Milliseconds, ZoneName};

impl Plan {
    /// The zones that the services of the plan are restricted to, sorted and without duplicates.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self
            .services
            .values()
            .flat_map(|service| &service.zones)
            .map(|name| name.as_str().into())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// The rules of placement by this plan, accepted as `epoch`, while the zones in `withdrawn` get no new
    /// requests.
    pub fn rules(&self, epoch: ConfigEpoch, withdrawn: Vec<ZoneName>) -> Rules {
        let services = self
            .services
            .iter()
            .map(|(name, service)| (name.as_str().into(), service.rules()))
            .collect();
        Rules {
            epoch,
            services,
            withdrawn,
        }
    }
}

impl ServicePlan {
    fn rules(&self) -> ServiceRules {
        ServiceRules {
            pool: self.pool.clone(),
            zones: self.zones.iter().map(|name| name.as_str().into()).collect(),
            servers: self
                .servers
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            first_token: Milliseconds(self.first_token_ms),
            slots: self.slots as u32,
            btb: self.btb.rules(),
            warm_up_per_second: self.cold_per_s as u32,
            warm_up_duration: Milliseconds(self.cold_ms),
            memory_tokens: self.memory_tokens,
        }
    }
}

impl BtbPlan {
    fn rules(&self) -> BtbRules {
        BtbRules {
            is_on: self.on,
            blocks: self.y as u32,
            arrivals: self.x as u32,
            window: Milliseconds(self.z_ms),
            copies: self.m as u32,
            most_copies: self.m_most as u32,
        }
    }
}
