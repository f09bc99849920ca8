//! The local target: its announcement, which is valid for the time of a lease, and its draining.

use crate::runtime::{Shared, lock};
use pomeloreach_core::api::{Announcement, AnnouncementResponse};
use pomeloreach_core::check::is_valid_name;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::node::{Input, TargetReport};
use pomeloreach_wire::clock::sleep_ms;
use std::sync::Arc;

/// Interval at which the lease and the deadlines of queued requests are checked, in milliseconds.
const MONITOR_INTERVAL_MS: u64 = 50;
/// Shortest and longest lease of an announcement, in milliseconds.
const LEASE_MS_MIN: u64 = 100;
const LEASE_MS_MAX: u64 = 60_000;

/// An announcement and the time at which its lease ends.
#[derive(Clone, Debug)]
struct AnnouncementLease {
    announcement: Announcement,
    expires_ms: u64,
    is_lapsed: bool,
}

/// The last announcement of the local target, whether the target is drained by an operator or by the
/// shutdown of the daemon, and the last report to the control plane.
#[derive(Default)]
pub struct LocalTarget {
    lease: Option<AnnouncementLease>,
    is_draining: bool,
    last_report: Option<TargetReport>,
}

/// Checks an announcement and returns the reason if it is invalid.
pub fn validate(announcement: &Announcement) -> Result<(), String> {
    if !is_valid_name(&announcement.service) {
        return Err(format!("service '{}' is not a name", announcement.service));
    }
    if announcement.port == 0 || announcement.slots == 0 {
        return Err("port and slots must be above 0".to_string());
    }
    if !(LEASE_MS_MIN..=LEASE_MS_MAX).contains(&announcement.lease_ms) {
        return Err(format!("lease_ms must be {LEASE_MS_MIN} to {LEASE_MS_MAX}"));
    }
    if announcement.state == TargetState::Lapsed {
        return Err("a target cannot announce the state 'lapsed'".to_string());
    }
    Ok(())
}

/// Accepts an announcement, which must have been validated.
pub async fn announce(shared: &Shared, announcement: Announcement) -> AnnouncementResponse {
    let now_ms = shared.clock.now_ms();
    let expires_ms = now_ms + announcement.lease_ms;
    {
        let mut target = lock(&shared.local_target);
        target.lease = Some(AnnouncementLease { announcement, expires_ms, is_lapsed: false });
    }
    report_target(shared).await;
    announcement_response(shared)
}

/// Drains the target; later announcements do not end the draining.
pub async fn drain(shared: &Shared) -> AnnouncementResponse {
    lock(&shared.local_target).is_draining = true;
    report_target(shared).await;
    announcement_response(shared)
}

/// The response to an announcement and to a request about draining.
pub fn announcement_response(shared: &Shared) -> AnnouncementResponse {
    AnnouncementResponse {
        in_flight: shared.inbound.in_flight().into(),
        may_stop: shared.inbound.may_stop(),
    }
}

/// Applies the state of the target to the inbound proxy, and reports it to the control plane if it
/// has changed.
async fn report_target(shared: &Shared) {
    let Some((report, port)) = current_report(shared) else { return };
    shared.inbound.set_target(report.state, report.slots, port);
    let changed = {
        let mut target = lock(&shared.local_target);
        let changed = target.last_report.as_ref() != Some(&report);
        target.last_report = Some(report.clone());
        changed
    };
    if changed {
        shared.send_input(Input::Target(report)).await;
    }
}

/// The current state of the target for the control plane, and its port; none before the first
/// announcement.
fn current_report(shared: &Shared) -> Option<(TargetReport, u16)> {
    let target = lock(&shared.local_target);
    let lease = target.lease.as_ref()?;
    let state = match (lease.is_lapsed, target.is_draining) {
        (true, _) => TargetState::Lapsed,
        (false, true) => TargetState::Draining,
        (false, false) => lease.announcement.state,
    };
    let report = TargetReport {
        service: lease.announcement.service.clone(),
        state,
        slots: lease.announcement.slots,
    };
    Some((report, lease.announcement.port))
}

/// Checks at regular intervals: marks the target as lapsed when its lease has ended, and refuses
/// queued requests that cannot end before their deadlines.
pub async fn monitor(shared: Arc<Shared>) {
    loop {
        sleep_ms(MONITOR_INTERVAL_MS).await;
        let now_ms = shared.clock.now_ms();
        shared.inbound.expire(now_ms);
        let is_lapsed = {
            let mut target = lock(&shared.local_target);
            match &mut target.lease {
                Some(lease) if !lease.is_lapsed && now_ms >= lease.expires_ms => {
                    lease.is_lapsed = true;
                    true
                }
                _ => false,
            }
        };
        if is_lapsed {
            report_target(&shared).await;
        }
    }
}
