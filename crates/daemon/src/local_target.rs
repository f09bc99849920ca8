//! What the target beside this daemon says of itself, under a lease.

use crate::runtime::{Shared, lock};
use pomeloreach_core::api::{Announcement, AnnouncementAnswer};
use pomeloreach_core::check::is_valid_name;
use pomeloreach_core::endpoint::TargetState;
use pomeloreach_core::node::{Input, TargetReport};
use pomeloreach_wire::clock::sleep_ms;
use std::sync::Arc;

/// How often leases and waits are looked at, in milliseconds.
const LOOK_MS: u64 = 50;
/// The shortest and the longest lease of an announcement, in milliseconds.
const LEASE_MS_MIN: u64 = 100;
const LEASE_MS_MAX: u64 = 60_000;

#[derive(Clone, Debug)]
struct Announced {
    announcement: Announcement,
    until_ms: u64,
    lapsed: bool,
}

/// The last announcement, and whether an operator or a stop drains the target.
#[derive(Default)]
pub struct LocalTarget {
    announced: Option<Announced>,
    draining: bool,
    reported: Option<TargetReport>,
}

/// Says what is wrong with an announcement, if anything is.
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

/// Takes in an announcement that was checked.
pub async fn announce(shared: &Shared, announcement: Announcement) -> AnnouncementAnswer {
    let now_ms = shared.clock.now_ms();
    let until_ms = now_ms + announcement.lease_ms;
    {
        let mut table = lock(&shared.local_target);
        table.announced = Some(Announced { announcement, until_ms, lapsed: false });
    }
    report(shared).await;
    announcement_response(shared)
}

/// Drains the target, whatever it announces from now on.
pub async fn drain(shared: &Shared) -> AnnouncementAnswer {
    lock(&shared.local_target).draining = true;
    report(shared).await;
    announcement_response(shared)
}

pub fn announcement_response(shared: &Shared) -> AnnouncementAnswer {
    AnnouncementAnswer {
        in_flight: shared.inbound.in_flight().into(),
        may_stop: shared.inbound.may_stop(),
    }
}

/// Tells the door at once, and the control plane when something changed.
async fn report(shared: &Shared) {
    let Some((report, port)) = current(shared) else { return };
    shared.inbound.announce(report.state, report.slots, port);
    let changed = {
        let mut table = lock(&shared.local_target);
        let changed = table.reported.as_ref() != Some(&report);
        table.reported = Some(report.clone());
        changed
    };
    if changed {
        shared.send_input(Input::Target(report)).await;
    }
}

fn current(shared: &Shared) -> Option<(TargetReport, u16)> {
    let table = lock(&shared.local_target);
    let announced = table.announced.as_ref()?;
    let state = match (announced.lapsed, table.draining) {
        (true, _) => TargetState::Lapsed,
        (false, true) => TargetState::Draining,
        (false, false) => announced.announcement.state,
    };
    let report = TargetReport {
        service: announced.announcement.service.clone(),
        state,
        slots: announced.announcement.slots,
    };
    Some((report, announced.announcement.port))
}

/// Lets announcements lapse, and waits at the door end, when their time is over.
pub async fn watch_lease(shared: Arc<Shared>) {
    loop {
        sleep_ms(LOOK_MS).await;
        let now_ms = shared.clock.now_ms();
        shared.inbound.expire(now_ms);
        let lapsed = {
            let mut table = lock(&shared.local_target);
            match &mut table.announced {
                Some(announced) if !announced.lapsed && now_ms >= announced.until_ms => {
                    announced.lapsed = true;
                    true
                }
                _ => false,
            }
        };
        if lapsed {
            report(&shared).await;
        }
    }
}
