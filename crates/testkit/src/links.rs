//! The links between data centres of a deployment with [`Proxied::DataCentres`].
//!
//! [`Proxied::DataCentres`]: crate::layout::Proxied::DataCentres

use std::{collections::BTreeMap, net::SocketAddr};

use serde_json::{Value, json};

use crate::{client::Call, deployment::Deployment, nodes::command};

impl Deployment {
    /// Rewrites what the platform answers at `address`: hosts and targets outside `data_centre`
    /// appear with the addresses of their proxies.
    pub(crate) async fn set_view(&self, address: SocketAddr, data_centre: &str) {
        let mut view = BTreeMap::new();
        for host in self
            .hosts
            .iter()
            .filter(|it| *it.data_centre != *data_centre)
        {
            let direct = [host.data, host.peer].into_iter().zip(&host.remote_proxies);
            view.extend(direct.map(|(it, proxy)| (it.to_string(), proxy.address.to_string())));
        }
        for target in self.targets.values() {
            if let Some(proxy) = &target.remote_proxy
                && *target.target.data_centre != *data_centre
            {
                view.insert(target.target.address.to_string(), proxy.address.to_string());
            }
        }
        let call = Call::put(format!("/control/views/{address}"), &json!(view));
        command(self.platform, &call).await;
    }

    /// Partitions `data_centre` from all other data centres and from the platform.
    pub async fn cut_off(&self, data_centre: &str) {
        self.set_links(data_centre, &json!({"mode": "partition"}))
            .await;
    }

    /// Ends the partition of [`Self::cut_off`]. Connections that have lost bytes are closed.
    pub async fn heal(&self, data_centre: &str) {
        for mode in ["cut", "pass"] {
            self.set_links(data_centre, &json!({"mode": mode})).await;
        }
    }

    /// Sets a rule on the connections between data centres and on those from the hosts of
    /// `data_centre` to the platform.
    async fn set_links(&self, data_centre: &str, rule: &Value) {
        let isolated = self
            .hosts
            .iter()
            .filter(|it| *it.data_centre == *data_centre);
        let platform = isolated.filter_map(|it| it.platform_proxy.as_ref());
        let hosts = self.hosts.iter().flat_map(|it| &it.remote_proxies);
        let targets = self
            .targets
            .values()
            .filter_map(|it| it.remote_proxy.as_ref());
        let rules = platform.chain(hosts).chain(targets);
        futures::future::join_all(rules.map(|it| it.set_rule(rule.clone()))).await;
    }
}
