//! Decides which daemons read the configuration from the store.
//!
//! If every daemon watched the store, each version would cross the links between regions once per
//! daemon. Here the two daemons nearest to the store watch it, and tell their peers how fresh their
//! knowledge is. Any daemon for which that knowledge grows old reads for itself, whatever the cause
//! of the silence is.

use crate::mesh::peers::Peers;
use crate::mesh::state::ConfigState;

/// Daemons that watch the store while all is well; the second covers the loss of the first.
const READER_COUNT: usize = 2;
/// Without news for this long a daemon reads for itself, in milliseconds. A configuration must be
/// in force 2,500 ms after it was accepted, so that this leaves time for a read; readers renew
/// the knowledge every 800 ms.
const CONFIRMED_AGE_MS_MAX: u64 = 1_000;
/// Each further daemon waits this much longer, in milliseconds, so that not all of them read at
/// once when the readers are lost.
const STAGGER_MS: u64 = 40;
/// The longest such wait, in milliseconds.
const STAGGER_MS_MAX: u64 = 500;
/// Calls that differ by less than this count as equally near, in milliseconds.
const RTT_BUCKET_MS: u32 = 20;

/// Whether this daemon should watch the store now.
pub fn should_read(peers: &Peers, local: ConfigState, now_ms: u64) -> bool {
    let store_rank = store_rank(peers, local);
    if store_rank < READER_COUNT || local.version == 0 {
        return true;
    }
    let local_age_ms = local.confirmed_age_ms.map(u64::from);
    // A peer that holds a newer version confirms that one; this daemon still has to get it.
    let agreeing = peers.linked().filter(|peer| peer.version() <= local.version);
    let received = agreeing.filter_map(|peer| peer.confirmed_age_ms(now_ms));
    let freshest_ms = received.chain(local_age_ms).min().unwrap_or(u64::MAX);
    let age_limit_ms = CONFIRMED_AGE_MS_MAX + (store_rank as u64 * STAGGER_MS).min(STAGGER_MS_MAX);
    freshest_ms > age_limit_ms
}

/// How many live daemons are nearer to the store than this one, or as near with a smaller name.
fn store_rank(peers: &Peers, local: ConfigState) -> usize {
    let rtt_bucket = |config: &ConfigState| config.store_rtt_ms.unwrap_or(u32::MAX) / RTT_BUCKET_MS;
    let local_key = (rtt_bucket(&local), peers.local().name.clone());
    let nearer = peers.linked().filter(|peer| {
        let Some(state) = &peer.state else { return false };
        !state.leaving && (rtt_bucket(&state.config), peer.record.name.clone()) < local_key
    });
    nearer.count()
}
