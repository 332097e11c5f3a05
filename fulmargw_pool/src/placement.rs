//! Which host runs the statements of a service on the servers of each availability zone.

use crate::{core::to_f64, settings};
use fulmargw_decision::placement::{self, MAX_BUSY_TIME, Millicores};
use fulmargw_model::name::Name;
use fulmargw_peer::report::Location;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Minimum time between two checks whether an executor is running.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Rankings of the hosts of each zone by service.
#[derive(Debug, Default)]
pub struct Placement {
    settings: settings::Placement,
    /// Location of this host; absent if its statements are not placed by zone.
    location: Option<Location>,
    /// Zones with servers, by service.
    zones: BTreeMap<Name, BTreeSet<Name>>,
    /// Rankings by service and zone of the services that are placed by zone; absent if they have to be
    /// computed again.
    rankings: Option<Rankings>,
    /// Number of services that were placed by zone when the rankings were computed last.
    placed: usize,
    /// Zones that have passed reads on, and until when they are expected to, by service.
    busy: BTreeMap<Name, Vec<(Name, Instant)>>,
    /// Executors to which a sender of statements has preferred this host, and when they were last
    /// asked whether they are running.
    checked: BTreeMap<Name, Instant>,
}

/// Rankings of hosts by service and zone.
type Rankings = BTreeMap<Name, BTreeMap<Name, Vec<Name>>>;

impl Placement {
    /// Returns the placement of a host at `location`, without servers.
    #[must_use]
    pub fn new(settings: settings::Placement, location: Option<Location>) -> Self {
        Self {
            settings,
            location,
            ..Self::default()
        }
    }

    /// Returns the location of this host.
    #[must_use]
    pub fn location(&self) -> Option<&Location> {
        self.location.as_ref()
    }

    /// Reports whether any service was placed by zone when the rankings were computed last.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.placed > 0
    }

    /// Sets the zones with servers of each service.
    pub fn set_zones(&mut self, zones: BTreeMap<Name, BTreeSet<Name>>) {
        if self.location.is_some() && self.zones != zones {
            self.zones = zones;
            self.rankings = None;
        }
    }

    /// Discards the rankings because the list of hosts changed.
    pub fn clear_rankings(&mut self) {
        self.rankings = None;
    }

    /// Returns the rankings by zone of a service; `None` if it is not placed by zone. `peers` are the
    /// other hosts of the fleet with their locations.
    pub fn of_service<'a>(
        &mut self,
        service: &Name,
        own: &Name,
        peers: impl Iterator<Item = (&'a Name, Option<&'a Location>)>,
    ) -> Option<&BTreeMap<Name, Vec<Name>>> {
        let location = self.location.as_ref()?;
        if self.rankings.is_none() {
            let rankings = self.compute(own, location, peers).unwrap_or_default();
            if rankings.len() != self.placed {
                log::info!(event = "placement", placed = rankings.len(), services = self.zones.len(); "services whose statements are placed by zone");
            }
            self.placed = rankings.len();
            metrics::gauge!("fulmargw_pool_services_placed").set(to_f64(rankings.len() as u64));
            self.rankings = Some(rankings);
        }
        self.rankings.as_ref()?.get(service)
    }

    /// Computes the rankings. A service is placed by zone if each zone with servers of it has enough
    /// hosts; none is while a host does not announce its location, since that host would choose
    /// other executors.
    fn compute<'a>(
        &self,
        own: &Name,
        location: &Location,
        peers: impl Iterator<Item = (&'a Name, Option<&'a Location>)>,
    ) -> Option<Rankings> {
        let mut by_zone: BTreeMap<&Name, Vec<(Name, Millicores)>> = BTreeMap::new();
        by_zone.insert(&location.zone, vec![(own.clone(), location.millicores)]);
        for (host, location) in peers {
            let location = location?;
            let listed = by_zone.entry(&location.zone).or_default();
            listed.push((host.clone(), location.millicores));
        }
        let has_enough = |zone: &Name| {
            let count = by_zone.get(zone).map_or(0, Vec::len);
            count >= self.settings.min_hosts_per_zone
        };
        let mut services: BTreeMap<&Name, Vec<Name>> = BTreeMap::new();
        for (service, zones) in &self.zones {
            if zones.iter().all(has_enough) {
                for zone in zones {
                    services.entry(zone).or_default().push(service.clone());
                }
            }
        }
        let mut rankings = Rankings::new();
        for (zone, services) in services {
            let hosts = by_zone.get(zone).map_or(&[][..], Vec::as_slice);
            for (service, ranking) in placement::rankings(zone, &services, hosts) {
                let zones = rankings.entry(service).or_default();
                zones.insert(zone.clone(), ranking);
            }
        }
        Some(rankings)
    }

    /// Reports whether an executor is to be asked now whether it is running, and records that it is.
    pub fn start_check(&mut self, host: &Name, now: Instant) -> bool {
        let last = self.checked.get(host);
        let is_due = last.is_none_or(|at| now.saturating_duration_since(*at) >= CHECK_INTERVAL);
        if is_due {
            self.checked.insert(host.clone(), now);
        }
        is_due
    }

    /// Records that a zone has passed a read on that would have waited for `wait`.
    pub fn record_busy(&mut self, service: &Name, zone: &Name, wait: Duration, now: Instant) {
        let until = now + wait.min(MAX_BUSY_TIME);
        let zones = self.busy.entry(service.clone()).or_default();
        match zones.iter_mut().find(|(known, _)| known == zone) {
            Some(entry) => entry.1 = until,
            None => zones.push((zone.clone(), until)),
        }
    }

    /// Returns for how long a zone is expected to pass reads on.
    #[must_use]
    pub fn busy_time(&self, service: &Name, zone: &Name, now: Instant) -> Duration {
        let zones = self.busy.get(service).map_or(&[][..], Vec::as_slice);
        let entry = zones.iter().find(|(known, _)| known == zone);
        entry.map_or(Duration::ZERO, |(_, until)| {
            until.saturating_duration_since(now)
        })
    }
}
