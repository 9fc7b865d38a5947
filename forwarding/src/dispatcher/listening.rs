//! Endpoints that this gateway asks what they hold.

use std::time::Duration;

use super::Dispatcher;
use crate::endpoints::Endpoint;
use crate::settings::Settings;

/// Maximum number of endpoints that one gateway listens to. A gateway that hears no other one would
/// listen to all endpoints of its data centre.
const MAX_LISTENED_ENDPOINTS: usize = 8;

impl Dispatcher {
    /// Endpoints whose held parts this gateway asks for: those of its data centre for which it is the
    /// listener, up to a maximum.
    pub fn listened_endpoints(&self, now: Duration) -> Vec<&Endpoint> {
        let Settings { name, data_centre, .. } = &self.settings;
        let services = self.release.iter().flat_map(|release| &release.services);
        let services = services.filter(|(_, service)| service.prompt_memory.is_some());
        let endpoints = services.flat_map(|(service, _)| self.endpoints.of_service(service));
        let endpoints = endpoints.filter(|endpoint| {
            endpoint.entry.data_centre == *data_centre
                && self.peers.is_listener(now, name, data_centre, &endpoint.entry.id)
        });
        endpoints.take(MAX_LISTENED_ENDPOINTS).collect()
    }
}
