//! Decides which daemons read the configuration from the store.
//!
//! If every daemon watched the store, each version would cross the links between regions once per
//! daemon. Here the two daemons nearest to the store watch it, and tell their peers how fresh their
//! knowledge is. Any daemon for which that knowledge grows old reads for itself, whatever the cause
//! of the silence is.

use crate::mesh::peers::Peers;
use crate::mesh::state::ConfigState;

/// Daemons that watch the store while all is well; the second covers the loss of the first.
const READERS: usize = 2;
/// Without news for this long a daemon reads for itself, in milliseconds. A configuration must be
/// in force 2,500 ms after it was accepted, so that this leaves time for a read; readers renew
/// the knowledge every 800 ms.
const STALE_MS: u64 = 1_000;
/// Each further daemon waits this much longer, in milliseconds, so that not all of them read at
/// once when the readers are lost.
const STAGGER_MS: u64 = 40;
/// The longest such wait, in milliseconds.
const STAGGER_MS_MAX: u64 = 500;
/// Calls that differ by less than this count as equally near, in milliseconds.
const RTT_STEP_MS: u32 = 20;

/// Whether this daemon should watch the store now.
pub fn should_read(peers: &Peers, own: ConfigState, now_ms: u64) -> bool {
    let rank = rank(peers, own);
    if rank < READERS || own.version == 0 {
        return true;
    }
    let own_age_ms = own.confirmed_age_ms.map(u64::from);
    // A peer that holds a newer version confirms that one; this daemon still has to get it.
    let agreeing = peers.linked().filter(|peer| peer.version() <= own.version);
    let heard = agreeing.filter_map(|peer| peer.confirmed_age_ms(now_ms));
    let freshest_ms = heard.chain(own_age_ms).min().unwrap_or(u64::MAX);
    let patience_ms = STALE_MS + (rank as u64 * STAGGER_MS).min(STAGGER_MS_MAX);
    freshest_ms > patience_ms
}

/// How many live daemons are nearer to the store than this one, or as near with a smaller name.
fn rank(peers: &Peers, own: ConfigState) -> usize {
    let key = |config: &ConfigState| config.store_rtt_ms.unwrap_or(u32::MAX) / RTT_STEP_MS;
    let own_key = (key(&own), peers.own().name.clone());
    let before = peers.linked().filter(|peer| {
        let Some(state) = &peer.state else { return false };
        !state.leaving && (key(&state.config), peer.record.name.clone()) < own_key
    });
    before.count()
}
