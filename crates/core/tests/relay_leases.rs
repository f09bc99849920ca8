//! When a daemon may claim a relay lease that another daemon holds in the store.

use pomeloreach_core::message::DaemonInfo;
use pomeloreach_core::roles::{Lease, RoleCall, RoleContext, Roles};
use pomeloreach_core::store::{StoreOp, StoreReply, StoredObject};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;

/// Maximum random delay of a claim, in milliseconds.
const CLAIM_SPREAD_MS: u64 = 600;

fn daemon(instance: &str, port: u16) -> DaemonInfo {
    DaemonInfo {
        instance: instance.into(),
        region: "musanze".into(),
        zone: "musanze-a".into(),
        addr: ([10, 0, 0, 1], port).into(),
    }
}

/// The time at which the daemon `local` claims the only relay lease of its zone, which `holder`
/// holds and does not renew.
fn claims_at_ms(local: &DaemonInfo, holder: DaemonInfo) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut roles = Roles::new(local.clone(), 1, 0);
    let context = RoleContext { needs_relay: true, draining: false };
    let lease = serde_json::to_string(&Lease { holder, renewal: 7 }).unwrap();
    (0..30_000).step_by(50).find(|now_ms| {
        for (call, op) in roles.tick(*now_ms, context, &mut rng) {
            match op {
                StoreOp::Put { .. } => return true,
                _ => reply(&mut roles, call, &lease, *now_ms),
            }
        }
        false
    })
}

/// Replies to a call with the lease if it lists relays, otherwise with an empty list.
fn reply(roles: &mut Roles, call: RoleCall, lease: &str, now_ms: u64) {
    let key = "roles/relays/musanze/musanze-a/0";
    let object = StoredObject { key: key.into(), value: lease.into(), object_version: 4 };
    let objects = if matches!(call, RoleCall::ListRelays) { vec![object] } else { Vec::new() };
    roles.handle_reply(call, Ok(StoreReply::Listed { objects, revision: 9 }), now_ms);
}

/// A restarted daemon claims the lease of its predecessor without waiting for the expiry, since the
/// predecessor had the same address and must have ended.
#[test]
fn predecessor_lease_claimed_at_once() {
    let claimed_ms = claims_at_ms(&daemon("d6.2", 7_600), daemon("d6.1", 7_600));
    assert!(claimed_ms.is_some_and(|ms| ms <= CLAIM_SPREAD_MS + 50), "{claimed_ms:?}");
}

#[test]
fn other_lease_must_expire() {
    let claimed_ms = claims_at_ms(&daemon("d6.2", 7_600), daemon("d5.1", 7_601));
    assert!(claimed_ms.is_some_and(|ms| ms >= 6_000), "{claimed_ms:?}");
}
