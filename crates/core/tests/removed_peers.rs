//! Peers whose records were removed from the store.

use pomeloreach_core::mesh::peers::{Peers, RecordSource};
use pomeloreach_core::mesh::state::{ConfigState, DaemonRecord, DaemonState};
use std::collections::BTreeSet;

/// Longer than three dials of a peer take, in milliseconds.
const DIALS_MS: u64 = 10_000;
/// How long a removal is remembered, in milliseconds.
const KEPT_MS: u64 = 300_000;

fn record(name: &str) -> DaemonRecord {
    DaemonRecord {
        name: name.into(),
        start_id: 1,
        region: "kigali".into(),
        zone: "kigali-a".into(),
        service: "desk".into(),
        link_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

fn state() -> DaemonState {
    DaemonState { leaving: false, target: None, config: ConfigState::default() }
}

/// The peers of a daemon that knows `d1`, from the store.
fn peers() -> Peers {
    let mut peers = Peers::new(record("d0"));
    peers.update_record(record("d1"), RecordSource::Store, 0);
    peers
}

/// Dials peers from `from_ms` on, as a daemon does. None can be reached.
fn dial_in_vain(peers: &mut Peers, from_ms: u64) {
    for now_ms in (from_ms..from_ms + DIALS_MS).step_by(100) {
        let wanted = peers.wanted_links(now_ms);
        peers.forget_removed(&wanted, now_ms);
        peers.take_due_dials(&wanted, now_ms);
    }
}

fn is_listed(peers: &Peers) -> bool {
    peers.records().iter().any(|record| &*record.name == "d1")
}

#[test]
fn present_peer_is_kept() {
    let mut peers = peers();
    peers.link_opened("d1", state(), 0);
    peers.link_closed("d1", 100);
    dial_in_vain(&mut peers, 100);
    assert!(is_listed(&peers));
}

#[test]
fn removed_peer_without_link_is_forgotten() {
    let mut peers = peers();
    peers.record_removed("d1", 100);
    assert!(peers.get("d1").is_none());
}

/// Guards against a peer that stays known for good because its record was removed before its links
/// were closed.
#[test]
fn removed_peer_with_link_is_forgotten_later() {
    let mut peers = peers();
    peers.link_opened("d1", state(), 0);
    peers.record_removed("d1", 100);
    dial_in_vain(&mut peers, 100);
    assert!(peers.get("d1").is_some_and(|peer| peer.is_linked));
    assert!(!is_listed(&peers), "a removed daemon is not passed on");
    assert_eq!(peers.daemon_count(), 1);
    peers.link_closed("d1", DIALS_MS);
    assert!(peers.get("d1").is_some(), "its link may have been cut");
    dial_in_vain(&mut peers, DIALS_MS);
    assert!(peers.get("d1").is_none());
}

#[test]
fn removed_peer_without_need_for_link_is_forgotten() {
    let mut peers = peers();
    peers.link_opened("d1", state(), 0);
    peers.record_removed("d1", 100);
    peers.link_closed("d1", 200);
    peers.forget_removed(&BTreeSet::new(), 300);
    assert!(peers.get("d1").is_none());
}

#[test]
fn announced_again_while_linked() {
    let mut peers = peers();
    peers.link_opened("d1", state(), 0);
    peers.record_removed("d1", 100);
    peers.update_record(record("d1"), RecordSource::Store, 200);
    peers.link_closed("d1", 300);
    dial_in_vain(&mut peers, 300);
    assert!(is_listed(&peers));
}

/// Guards against a removed peer that returns for good, because a peer that has not learned of the
/// removal lists it.
#[test]
fn removed_peer_is_not_added_from_lists() {
    let mut peers = peers();
    peers.record_removed("d1", 100);
    peers.update_record(record("d1"), RecordSource::Peer, 200);
    assert!(peers.get("d1").is_none());
    peers.update_record(record("d1"), RecordSource::Store, 300);
    assert!(is_listed(&peers));
}

/// Guards against a removed peer that returns for good, because it opens a link while it stops.
#[test]
fn removed_peer_that_opens_link_is_forgotten() {
    let mut peers = peers();
    peers.record_removed("d1", 100);
    peers.update_record(record("d1"), RecordSource::Owner, 200);
    assert!(peers.get("d1").is_some(), "a daemon that can be reached is used");
    assert!(!is_listed(&peers), "a removed daemon is not passed on");
    dial_in_vain(&mut peers, 200);
    assert!(peers.get("d1").is_none());
}

/// A VM that starts again under its name is used before the store reports its record.
#[test]
fn announced_again_after_link() {
    let mut peers = peers();
    peers.record_removed("d1", 100);
    peers.update_record(record("d1"), RecordSource::Owner, 200);
    peers.link_opened("d1", state(), 200);
    peers.update_record(record("d1"), RecordSource::Store, 300);
    peers.link_closed("d1", 400);
    dial_in_vain(&mut peers, 400);
    assert!(is_listed(&peers));
}

/// Removals must not be remembered for good: a fleet replaces its VMs again and again.
#[test]
fn removal_is_remembered_for_a_time() {
    let mut peers = peers();
    peers.record_removed("d1", 100);
    peers.forget_removed(&BTreeSet::new(), KEPT_MS);
    peers.update_record(record("d1"), RecordSource::Peer, KEPT_MS);
    assert!(!is_listed(&peers));
    peers.forget_removed(&BTreeSet::new(), KEPT_MS + 100);
    peers.update_record(record("d1"), RecordSource::Peer, KEPT_MS + 100);
    assert!(is_listed(&peers));
}
