//! `pomeloreachd run`.

use crate::error::DaemonError;
use crate::settings::Settings;
use crate::signals::DaemonSignals;
use argh::FromArgs;
use std::path::PathBuf;

/// Run the daemon until it receives SIGTERM or SIGINT, then drain and stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// the settings file, in YAML
    #[argh(option, short = 's')]
    settings: PathBuf,
}

impl Run {
    pub fn run(self) -> Result<(), DaemonError> {
        // First of all: until then, a signal ends the process.
        let signals = DaemonSignals::install()?;
        let settings = Settings::read(&self.settings)?;
        crate::logging::init(settings.log_level);
        let result = match settings.mesh.clone() {
            Some(mesh) => crate::mesh::run(self.settings, settings, mesh, signals),
            None => crate::runtime::run(settings, signals),
        };
        crate::logging::finish();
        result
    }
}
