//! A small deployment: a store, backends and routers on loopback addresses.

use std::{
    fs, io,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{backend::Backend, json::Json, record::Record, router::Router, store::Store};

const ZONES: [&str; 2] = ["nord-a", "sud-a"];

pub struct Deployment {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub backends: Vec<Arc<Backend>>,
    pub routers: Vec<Router>,
    folder: PathBuf,
}

/// A service, its number of backends, and whether it is divided by key.
pub type Service = (&'static str, usize, bool);

impl Deployment {
    pub fn start(
        record: Arc<Record>,
        services: &[Service],
        routers: usize,
        config: &str,
    ) -> io::Result<Self> {
        let name = format!("review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        let mut deployment = Self {
            store,
            record,
            backends: Vec::new(),
            routers: Vec::new(),
            folder,
        };
        for (service, count, keyed) in services {
            for idx in 0..*count {
                let backend = Backend {
                    name: format!("i-{service}{idx}"),
                    service: (*service).to_owned(),
                    keyed: *keyed,
                    zone: ZONES[idx % 2].to_owned(),
                    address: ([127, 0, 0, 1], 0).into(),
                    work: Duration::from_millis(100),
                    away: Duration::from_millis(1_000),
                    store: Arc::clone(&deployment.store),
                    record: Arc::clone(&deployment.record),
                    stopped: AtomicBool::new(false),
                    lives: AtomicU64::new(0),
                    lapsed: Mutex::default(),
                };
                deployment.backends.push(backend.start()?);
            }
        }
        deployment.store.set("op", "config", Some(config));
        for idx in 0..routers {
            let (name, zone) = (format!("edge-{idx}"), ZONES[idx % 2]);
            let address = deployment.store.address;
            let router = Router::start(&deployment.folder, &name, zone, address)?;
            deployment.routers.push(router);
        }
        Ok(deployment)
    }

    /// Waits until all routers are ready; returns whether they are in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.routers.iter().all(Router::is_ready) {
                // The first owners of keys are chosen some seconds after the start.
                thread::sleep(Duration::from_secs(5));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Deployment {
    /// The router that last wrote to the store under a condition.
    pub fn leader(&self) -> Option<usize> {
        let row = self.store.get("sassafrasstack", "lease")?;
        let row = Json::parse(row.as_bytes())?;
        let host = row.get("host").text();
        self.routers.iter().position(|it| it.name == host)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            // The temporary folder has only settings and logs.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
