//! A target of a deployment.

use std::{
    fs::OpenOptions,
    io::Write,
    path::{Path, PathBuf},
};

use document::{Service, Target};
use serde_json::Value;

use super::{Proxy, command, control_address};
use crate::{
    client::Call,
    history::Run,
    process::{Addresses, Process},
    target::{Entry, Event, join_events, now_us},
};

/// The settings with which a target is started.
#[derive(Clone, Copy, Debug)]
pub struct TargetSettings {
    /// Initial processing time of each request in milliseconds.
    pub work_ms: u64,
    /// Initial size of the body of each answer in bytes.
    pub body_bytes: usize,
    /// Whether hosts connect to the target through a proxy.
    pub proxied: bool,
}

/// A target of the deployment.
#[derive(Debug)]
pub struct TargetNode {
    /// The service.
    pub service: Service,
    /// The target's entry in the document, with its address.
    pub target: Target,
    /// The process.
    pub process: Process,
    /// Proxy for connections from all hosts, if they are proxied.
    pub proxy: Option<Proxy>,
    /// Proxy for connections from hosts of other data centres, if they are proxied.
    pub remote_proxy: Option<Proxy>,
    addresses: Addresses,
    record: PathBuf,
    log: PathBuf,
    args: Vec<String>,
}

impl TargetNode {
    /// Starts a target; its record and its log are written to `dir`.
    ///
    /// # Panics
    ///
    /// Panics if the target does not start.
    pub async fn start(
        service: &Service,
        mut target: Target,
        settings: TargetSettings,
        dir: &Path,
    ) -> Self {
        let name = format!("{}-{}", service.name, target.name);
        let record = dir.join(format!("{name}.record"));
        let log = dir.join(format!("{name}.log"));
        let checks = if service.checks_grants { "yes" } else { "no" };
        let args: Vec<String> = [
            ("--service", service.name.to_string()),
            ("--slots", target.slots.to_string()),
            ("--connections", target.connections.to_string()),
            ("--checks", checks.to_owned()),
            ("--work-ms", settings.work_ms.to_string()),
            ("--body-bytes", settings.body_bytes.to_string()),
            ("--record", record.display().to_string()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        let (process, addresses) = Process::start_stand_in("target", &as_strs(&args), &log).await;
        let proxy = if settings.proxied {
            Some(Proxy::start(addresses.listening, &log.with_extension("proxy")).await)
        } else {
            None
        };
        let address = proxy.as_ref().map_or(addresses.listening, |it| it.address);
        target.address = address.to_string().into();
        Self {
            service: service.clone(),
            target,
            process,
            proxy,
            remote_proxy: None,
            addresses,
            record,
            log,
            args,
        }
    }

    /// Kills the process and appends an exit event to the record, which ends its open requests.
    ///
    /// # Panics
    ///
    /// Panics if the record cannot be written.
    pub async fn kill(&mut self) {
        self.process.kill().await;
        let exit = Event::Exit { at_us: now_us() };
        let mut record = OpenOptions::new()
            .append(true)
            .open(&self.record)
            .expect("the record exists");
        record
            .write_all(exit.line().as_bytes())
            .expect("the record is writable");
    }

    /// Starts the process again, with a new incarnation at the same address.
    ///
    /// # Panics
    ///
    /// Panics if the target does not start.
    pub async fn restart(&mut self) {
        let listen = self.addresses.listening.to_string();
        let mut args = as_strs(&self.args);
        args.extend(["--listen", &listen]);
        let (process, addresses) = Process::start_stand_in("target", &args, &self.log).await;
        self.process = process;
        self.addresses = addresses;
    }

    /// Changes the behaviour, see [`crate::target::BehaviourChange`].
    pub async fn set_behaviour(&self, change: Value) {
        let call = Call::put("/control/behaviour", &change);
        command(control_address(self.addresses), &call).await;
    }

    /// The requests that the target accepted in all its incarnations.
    ///
    /// # Panics
    ///
    /// Panics if the record cannot be read.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        let text = std::fs::read_to_string(&self.record).expect("each target writes a record");
        let entries = join_events(&text).expect("each line of a record is an event");
        let run = |entry: Entry| Run {
            target: self.target.name.to_string(),
            end_us: entry.end_us.unwrap_or_else(now_us),
            entry,
        };
        entries.into_iter().map(run).collect()
    }
}

fn as_strs(args: &[String]) -> Vec<&str> {
    args.iter().map(String::as_str).collect()
}
