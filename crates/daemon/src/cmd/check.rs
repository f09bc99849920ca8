//! `pomeloreachd check`.

use crate::error::DaemonError;
use crate::settings::Settings;
use argh::FromArgs;
use std::path::PathBuf;

/// Check a settings file, and the certificates that it names, without starting the daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the settings file, in YAML
    #[argh(option, short = 's')]
    settings: PathBuf,
}

impl Check {
    pub fn run(self) -> Result<(), DaemonError> {
        let settings = Settings::read(&self.settings)?;
        if let Some(tls) = &settings.tls {
            crate::quic::check_credentials(tls)?;
        }
        println!("{} is valid", self.settings.display());
        Ok(())
    }
}
