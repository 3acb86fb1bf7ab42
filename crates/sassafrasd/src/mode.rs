//! Which kind of deployment the host belongs to.

use std::{future::Future, path::Path, process::ExitCode, sync::Arc, time::Duration};

use provider::{Grants, MetadataStore};
use router::Ports;
use serde::Deserialize;
use tokio::runtime::Builder;

use crate::{
    NOT_BOUND, run,
    settings::{Settings, SettingsError},
};

/// Longest wait for the answer to a call of the platform's store.
const STORE_LIMIT: Duration = Duration::from_millis(800);

/// Longest wait for the answer to a grant.
const GRANT_LIMIT: Duration = Duration::from_millis(250);

/// Longest wait for the answer to a release, for which a target first ends its work. It is repeated
/// then, since the answer may have been lost.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

/// The kind of deployment, told apart by the settings.
pub enum Mode {
    /// Services and targets are listed in the operators' document.
    Document(Box<Settings>),
    /// The platform's store has the configuration, and targets register themselves there.
    Store(Box<router::Settings>),
}

/// The field that only the settings of the second kind have.
#[derive(Deserialize)]
struct Probe {
    store: Option<serde_yaml_ng::Value>,
}

impl Mode {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or its settings cannot be used.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|err| SettingsError::Read(file.clone(), err))?;
        let probe: Option<Probe> = serde_yaml_ng::from_str(&text).ok();
        if probe.is_some_and(|it| it.store.is_some()) {
            let settings = router::Settings::parse(&file, &text)?;
            return Ok(Self::Store(Box::new(settings)));
        }
        let settings = Settings::parse(&file, &text)?;
        Ok(Self::Document(Box::new(settings)))
    }

    /// Runs the host until it is asked to stop.
    pub fn run(self) -> ExitCode {
        let code = match self {
            Self::Document(settings) => {
                process::logging::init(Arc::clone(&settings.host));
                block_on(Builder::new_multi_thread(), run(*settings))
            }
            Self::Store(settings) => {
                process::logging::init(Arc::clone(&settings.host));
                let ports = Ports {
                    store: Arc::new(MetadataStore::new(settings.store.address, STORE_LIMIT)),
                    target_api: Arc::new(Grants::new(GRANT_LIMIT, RELEASE_LIMIT)),
                    profile: provider::dialect(),
                };
                // Such hosts have a part of one core.
                block_on(Builder::new_current_thread(), router::run(*settings, ports))
            }
        };
        process::logging::flush();
        code
    }
}

fn block_on(mut builder: Builder, main: impl Future<Output = ExitCode>) -> ExitCode {
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(main),
        Err(err) => {
            log::error!("the runtime cannot be started: {err}");
            ExitCode::from(NOT_BOUND)
        }
    }
}
