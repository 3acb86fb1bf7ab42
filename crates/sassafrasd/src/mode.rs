//! The kind of deployment that the host belongs to, and its start.

use std::{future::Future, path::Path, process::ExitCode, sync::Arc, time::Duration};

use provider::{MetadataStore, TargetClient};
use router::{GRANT_TIMEOUT, Ports};
use serde::Deserialize;
use tokio::runtime::Builder;

use crate::{
    EXIT_NOT_BOUND, run,
    settings::{Settings, SettingsError},
};

/// Timeout of calls to the platform's store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a release. The target answers it only after ending its work. The release is sent
/// again after the timeout, since the answer may have been lost.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// The kind of deployment, which the settings file determines.
pub enum Mode {
    /// The operators' document lists services and targets.
    Document(Box<Settings>),
    /// The platform's store has the configuration, and targets register themselves there.
    Store(Box<router::Settings>),
}

/// The field that is present only in the settings of [`Mode::Store`].
#[derive(Deserialize)]
struct StoreField {
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
        let field: Option<StoreField> = serde_yaml_ng::from_str(&text).ok();
        if field.is_some_and(|it| it.store.is_some()) {
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
                    store: Arc::new(MetadataStore::new(settings.store.address, STORE_TIMEOUT)),
                    target_api: Arc::new(TargetClient::new(GRANT_TIMEOUT, RELEASE_TIMEOUT)),
                    profile: provider::protocol_profile(),
                };
                // These hosts have less than one core.
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
            ExitCode::from(EXIT_NOT_BOUND)
        }
    }
}
