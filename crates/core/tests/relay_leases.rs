//! Who may claim a lease, and when.

use pomeloreach_core::message::DaemonInfo;
use pomeloreach_core::roles::{Lease, RoleCall, RoleContext, Roles};
use pomeloreach_core::store::{StoreOp, StoreReply, StoredObject};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;

/// Claims after a look are spread over this time, in milliseconds.
const SPREAD_MS: u64 = 600;

fn daemon(instance: &str, port: u16) -> DaemonInfo {
    DaemonInfo {
        instance: instance.into(),
        region: "musanze".into(),
        zone: "musanze-a".into(),
        addr: ([10, 0, 0, 1], port).into(),
    }
}

/// When a daemon claims the one lease of its zone that another daemon holds in the store.
fn claims_at_ms(own: &DaemonInfo, holder: DaemonInfo) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut roles = Roles::new(own.clone(), 1, 0);
    let context = RoleContext { needs_relay: true, draining: false };
    let lease = serde_json::to_string(&Lease { holder, renewal: 7 }).unwrap();
    (0..30_000).step_by(50).find(|now_ms| {
        for (call, op) in roles.tick(*now_ms, context, &mut rng) {
            match op {
                StoreOp::Put { .. } => return true,
                _ => answer(&mut roles, call, &lease, *now_ms),
            }
        }
        false
    })
}

fn answer(roles: &mut Roles, call: RoleCall, lease: &str, now_ms: u64) {
    let key = "roles/relays/musanze/musanze-a/0";
    let object = StoredObject { key: key.into(), value: lease.into(), object_version: 4 };
    let objects = if matches!(call, RoleCall::ListRelays) { vec![object] } else { Vec::new() };
    roles.handle_reply(call, Ok(StoreReply::Listed { objects, revision: 9 }), now_ms);
}

/// A daemon that starts again need not wait for the lease of its predecessor to lapse: that one
/// stood at the address which the daemon has now.
#[test]
fn predecessor_is_gone() {
    let claimed_ms = claims_at_ms(&daemon("d6.2", 7_600), daemon("d6.1", 7_600));
    assert!(claimed_ms.is_some_and(|ms| ms <= SPREAD_MS + 50), "{claimed_ms:?}");
}

#[test]
fn others_must_lapse() {
    let claimed_ms = claims_at_ms(&daemon("d6.2", 7_600), daemon("d5.1", 7_601));
    assert!(claimed_ms.is_some_and(|ms| ms >= 6_000), "{claimed_ms:?}");
}
