//! Writes the TLS files of a test fleet.

use argh::FromArgs;
use std::path::PathBuf;

/// Write ca.pem, cert.pem and key.pem for a test fleet to a folder.
#[derive(FromArgs)]
struct Keys {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let keys: Keys = argh::from_env();
    pomeloreach_standins::key_files::write(&keys.folder)
}
