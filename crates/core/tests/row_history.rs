//! Deltas from the row history bring receivers to the newest version.

use pomeloreach_core::mesh::history::RowHistory;
use pomeloreach_core::mesh::published::PublishedConfig;
use pomeloreach_core::row::Pool;
use proptest::prelude::*;

/// A version with some of the pools. A number of 0 leaves the pool out; any other is its
/// `attempts_max`.
fn published(version: u64, pools: &[u8]) -> PublishedConfig {
    let rows = pools.iter().enumerate().filter(|(_, max)| **max > 0);
    let pool = |attempts_max: u8| Pool { attempts_max, ..Pool::with_defaults("s".into()) };
    PublishedConfig {
        version,
        pools: rows.map(|(index, max)| (format!("p{index}").into(), pool(*max))).collect(),
        ..PublishedConfig::default()
    }
}

proptest! {
    /// The sender holds the newest version and those versions for which `sender_has` is set; the
    /// receiver holds the version with the index `receiver_at`. The receiver reaches the newest
    /// version by the delta, or else by one request for all rows.
    #[test]
    fn receiver_catches_up(
        contents in prop::collection::vec(prop::collection::vec(0_u8..3, 8), 3..12),
        sender_has in prop::collection::vec(any::<bool>(), 12),
        receiver_at in 0_usize..12,
    ) {
        let versions: Vec<PublishedConfig> = contents
            .iter()
            .enumerate()
            .map(|(index, pools)| published(index as u64 + 1, pools))
            .collect();
        let newest = versions.last().unwrap();
        let mut history = RowHistory::default();
        let mut held = PublishedConfig::default();
        for (index, version) in versions.iter().enumerate() {
            if sender_has[index] || version == newest {
                history.record(&held, version);
                held = version.clone();
            }
        }
        let receiver = &versions[receiver_at.min(versions.len() - 1)];
        if receiver != newest {
            let digest = newest.digest();
            let delta = history.delta_since(receiver.version, newest, &digest);
            let base =
                if delta.base_version == 0 { PublishedConfig::default() } else { receiver.clone() };
            let applied = delta.apply(&base);
            let all = || history.delta_since(0, newest, &digest).apply(&PublishedConfig::default());
            let caught_up = applied.or_else(all);
            prop_assert_eq!(caught_up.as_ref(), Some(newest));
        }
    }
}

/// Under rapid changes a delta contains only the rows that changed, also for receivers far behind.
#[test]
fn delta_has_only_changed_rows() {
    let mut history = RowHistory::default();
    let mut pools = [1_u8; 200];
    let mut held = published(1, &pools);
    history.record(&PublishedConfig::default(), &held);
    for version in 2..=31 {
        pools[version as usize] = 2;
        let next = published(version, &pools);
        history.record(&held, &next);
        held = next;
    }
    let digest = held.digest();
    assert_eq!(history.delta_since(30, &held, &digest).pools.len(), 1);
    assert_eq!(history.delta_since(11, &held, &digest).pools.len(), 20);
    assert_eq!(history.delta_since(0, &held, &digest).pools.len(), 200);
}
