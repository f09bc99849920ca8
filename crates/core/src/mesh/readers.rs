//! Decides which daemons read the configuration from the store.
//!
//! If every daemon read the store, each version would cross the links between regions once per
//! daemon. Instead the two daemons with the shortest round-trip times to the store read it, and
//! report to their peers how long ago they confirmed the version. A daemon whose last confirmation
//! is too old, for any reason, reads the store itself.

use crate::mesh::peers::Peers;
use crate::mesh::state::ConfigState;

/// The number of daemons that read the store in normal operation. The second covers the loss of
/// the first.
const READER_COUNT: usize = 2;
/// The age of the last confirmation after which a daemon reads the store itself, in milliseconds. A
/// configuration must be in force 2,500 ms after it was accepted, and this leaves time for a read.
/// Readers confirm the version every 800 ms.
const CONFIRMED_AGE_MS_MAX: u64 = 1_000;
/// The additional wait for each daemon that is before this one in the order of [`reader_position`],
/// in milliseconds, so that not all daemons read at once when the readers are lost.
const STAGGER_MS: u64 = 40;
/// How long a daemon that is no reader waits after it found no configuration in the store, in
/// milliseconds.
const MISSING_READ_MS: u64 = 3_000;
/// The longest additional wait, in milliseconds.
const STAGGER_MS_MAX: u64 = 500;
/// Store round-trip times within the same bucket of this size count as equal, in milliseconds.
const RTT_BUCKET_MS: u32 = 20;

/// Whether this daemon should read the store now: always if it is one of the readers, otherwise if
/// the last confirmation is too old. A daemon without a configuration reads too, but if the store
/// had none at `missing_ms`, it leaves it to the readers for a while to find the first one.
pub fn should_read(
    peers: &Peers,
    local: ConfigState,
    missing_ms: Option<u64>,
    now_ms: u64,
) -> bool {
    let reader_position = reader_position(peers, local);
    if reader_position < READER_COUNT {
        return true;
    }
    if local.version == 0 {
        return missing_ms.is_none_or(|missing_ms| now_ms >= missing_ms + MISSING_READ_MS);
    }
    let local_age_ms = local.confirmed_age_ms.map(u64::from);
    // A peer with a newer version confirms only that version, which this daemon does not hold yet.
    let not_newer = peers.linked().filter(|peer| peer.version() <= local.version);
    let peer_ages_ms = not_newer.filter_map(|peer| peer.confirmed_age_ms(now_ms));
    let freshest_ms = peer_ages_ms.chain(local_age_ms).min().unwrap_or(u64::MAX);
    let age_limit_ms =
        CONFIRMED_AGE_MS_MAX + (reader_position as u64 * STAGGER_MS).min(STAGGER_MS_MAX);
    freshest_ms > age_limit_ms
}

/// Whether this daemon is the first of the readers, as far as its links show. Others can be the first
/// by theirs.
pub fn is_first_reader(peers: &Peers, local: ConfigState) -> bool {
    reader_position(peers, local) == 0
}

/// The newest revision of the store, in the era that this daemon knows, at which the version in force
/// here was the newest. A watch from there confirms the version without reading it again.
pub fn confirmed_revision(peers: &Peers, local: ConfigState) -> Option<u64> {
    if local.version == 0 {
        return None;
    }
    let peer_states = peers.linked().filter_map(|peer| Some(peer.state.as_ref()?.config));
    peer_states
        .chain([local])
        .filter(|state| (state.version, state.store_era) == (local.version, local.store_era))
        .filter_map(|state| state.confirmed_revision)
        .max()
}

/// A confirmation that the store held no newer version than the one in force here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// By the clock of this daemon. Negative if that was before the daemon started.
    pub confirmed_ms: i64,
    /// The revision of the store at that time, in the era that this daemon knows; absent if unknown.
    pub revision: Option<u64>,
}

/// The newest confirmation of the version in force here that linked peers have reported, also before
/// this daemon had that version.
pub fn reported_confirmation(
    peers: &Peers,
    local: ConfigState,
    now_ms: u64,
) -> Option<Confirmation> {
    let same_version = peers.linked().filter(|peer| peer.version() == local.version);
    let ages_ms = same_version.filter_map(|peer| peer.confirmed_age_ms(now_ms));
    let confirmed_ms = now_ms.cast_signed() - ages_ms.min()?.cast_signed();
    Some(Confirmation { confirmed_ms, revision: confirmed_revision(peers, local) })
}

/// The position of this daemon in the order in which daemons become readers, from 0. Linked peers
/// come earlier if they are not leaving and have a shorter round-trip time to the store, or
/// an equal one and a lower name.
fn reader_position(peers: &Peers, local: ConfigState) -> usize {
    let rtt_bucket = |config: &ConfigState| config.store_rtt_ms.unwrap_or(u32::MAX) / RTT_BUCKET_MS;
    let local_key = (rtt_bucket(&local), peers.local().name.clone());
    let earlier = peers.linked().filter(|peer| {
        let Some(state) = &peer.state else { return false };
        !state.leaving && (rtt_bucket(&state.config), peer.record.name.clone()) < local_key
    });
    earlier.count()
}
