//! Quotas over a simulated fleet: the allowance holds under random faults, and what is within the
//! limit is served.

mod quota_fleet;

use pomeloreach_core::account::QuotaLimit;
use pomeloreach_core::mesh::quota::QuotaTerms;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quota_fleet::{Fleet, LinkFaults, most_in_window};

/// The number of zones and of daemons in each, for the schedules with faults.
const ZONES: usize = 3;
const PER_ZONE: usize = 4;
/// The window of the default terms.
const WINDOW_MS: u64 = 5_000;
/// How long a version may take until all daemons have it.
const CONFIG_APPLY_MS: u64 = 3_000;

fn limit(rate_per_s: f64, burst: f64) -> QuotaLimit {
    QuotaLimit {
        rate_milli_per_s: (rate_per_s * 1_000.0) as u64,
        burst_milli: (burst * 1_000.0) as u64,
    }
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill {
        daemon: usize,
    },
    Start {
        daemon: usize,
    },
    RestartZone {
        zone: usize,
    },
    CutZone {
        zone: usize,
    },
    CutDaemon {
        daemon: usize,
    },
    Heal,
    Pause {
        daemon: usize,
        ms: u64,
    },
    LowerLimits,
    /// All demand moves to one zone.
    Shift {
        zone: usize,
    },
    /// Daemons have each the same demand.
    Spread,
    /// All demand moves to one zone and back several times, so that loans are still used there when
    /// the lenders need their shares.
    Flip {
        zone: usize,
    },
    Idle,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let daemon = 0..ZONES * PER_ZONE;
    let step = prop_oneof![
        2 => daemon.clone().prop_map(|daemon| Step::Kill { daemon }),
        3 => daemon.clone().prop_map(|daemon| Step::Start { daemon }),
        1 => (0..ZONES).prop_map(|zone| Step::RestartZone { zone }),
        2 => (0..ZONES).prop_map(|zone| Step::CutZone { zone }),
        2 => daemon.clone().prop_map(|daemon| Step::CutDaemon { daemon }),
        3 => Just(Step::Heal),
        2 => (daemon, 100..6_000u64).prop_map(|(daemon, ms)| Step::Pause { daemon, ms }),
        1 => Just(Step::LowerLimits),
        3 => (0..ZONES).prop_map(|zone| Step::Shift { zone }),
        2 => Just(Step::Spread),
        1 => (0..ZONES).prop_map(|zone| Step::Flip { zone }),
        1 => Just(Step::Idle),
    ];
    prop::collection::vec((50..1_500u64, step), 4..24)
}

/// The demand of all daemons together, as a multiple of the limits of 400, 40 and 4 a second.
const DEMAND: f64 = 4.0;
const RATES: [f64; 3] = [400.0, 40.0, 4.0];

fn apply(fleet: &mut Fleet, step: Step) {
    let demand = |share: f64| RATES.iter().map(|rate| rate * DEMAND * share).collect::<Vec<_>>();
    let count = fleet.daemons.len();
    match step {
        Step::Kill { daemon } => fleet.kill(daemon),
        Step::Start { daemon } if fleet.daemons[daemon].node.is_none() => fleet.start(daemon),
        Step::Start { .. } => {}
        Step::RestartZone { zone } => {
            for daemon in (0..count).filter(|daemon| daemon % ZONES == zone) {
                fleet.start(daemon);
            }
        }
        Step::CutZone { zone } => {
            fleet.daemons.iter_mut().filter(|daemon| daemon.zone == zone).for_each(|daemon| {
                daemon.group = zone + 1;
            });
        }
        Step::CutDaemon { daemon } => fleet.daemons[daemon].group = 100 + daemon,
        Step::Heal => fleet.daemons.iter_mut().for_each(|daemon| daemon.group = 0),
        Step::Pause { daemon, ms } => fleet.pause(daemon, ms),
        Step::LowerLimits => {
            let lower = |limit: &QuotaLimit| QuotaLimit {
                rate_milli_per_s: limit.rate_milli_per_s / 2,
                burst_milli: limit.burst_milli / 2,
            };
            let limits = fleet.limits.iter().map(|(name, limit)| (name.clone(), lower(limit)));
            let limits = limits.collect();
            fleet.set_limits(limits);
        }
        Step::Shift { zone } => {
            for daemon in 0..count {
                let share = if daemon % ZONES == zone { 1.0 / PER_ZONE as f64 } else { 0.0 };
                fleet.set_rates(daemon, demand(share));
            }
        }
        Step::Spread => {
            (0..count).for_each(|daemon| fleet.set_rates(daemon, demand(1.0 / count as f64)));
        }
        Step::Flip { zone } => {
            for _ in 0..5 {
                for (step, ms) in [(Step::Shift { zone }, 900), (Step::Spread, 500)] {
                    apply(fleet, step);
                    let end_ms = fleet.now_ms + ms;
                    fleet.run_until(end_ms);
                }
            }
        }
        Step::Idle => (0..count).for_each(|daemon| fleet.set_rates(daemon, demand(0.0))),
    }
}

/// Checks every window. A lowered limit binds once all daemons have had it for some time.
fn check_allowance(fleet: &Fleet, changes: &[u64]) -> Result<(), TestCaseError> {
    for (account, runs) in fleet.runs.iter().enumerate() {
        let mut from_ms = 0;
        for (halvings, end_ms) in changes
            .iter()
            .map(|change_ms| change_ms + CONFIG_APPLY_MS)
            .chain([u64::MAX])
            .enumerate()
        {
            let rate = RATES[account] / f64::from(1 << halvings);
            let allowed = QuotaTerms::default().allowance(limit(rate, rate));
            // The windows that begin while this limit binds.
            let last_ms = end_ms.saturating_add(WINDOW_MS);
            let in_force: Vec<u64> =
                runs.iter().copied().filter(|at| (from_ms..last_ms).contains(at)).collect();
            let most = most_in_window(&in_force, WINDOW_MS);
            prop_assert!(
                most as f64 <= allowed + 1e-6,
                "account {account}: {most} in a window, {allowed} allowed"
            );
            from_ms = end_ms;
        }
    }
    Ok(())
}

fn run_schedule(seed: u64, faults: LinkFaults, steps: &[(u64, Step)]) -> Result<(), TestCaseError> {
    let limits: Vec<QuotaLimit> = RATES.iter().map(|rate| limit(*rate, *rate)).collect();
    let mut fleet = Fleet::new(ZONES, PER_ZONE, &limits, seed);
    fleet.faults = faults;
    apply(&mut fleet, Step::Spread);
    fleet.run_until(6_000);
    let mut changes = Vec::new();
    for (pause_ms, step) in steps {
        // At most three times, so that the limits stay above zero.
        if matches!(step, Step::LowerLimits) && changes.len() == 3 {
            continue;
        }
        apply(&mut fleet, *step);
        if matches!(step, Step::LowerLimits) {
            changes.push(fleet.now_ms);
        }
        let end_ms = fleet.now_ms + pause_ms;
        fleet.run_until(end_ms);
    }
    let end_ms = fleet.now_ms + 6_000;
    fleet.run_until(end_ms);
    check_allowance(&fleet, &changes)
}

/// The store comes back from an earlier copy, whose list lacks daemons that run: if the shares rose at
/// once, those daemons would use theirs as well.
#[test]
fn fewer_daemons_raise_no_share() {
    let limits = [limit(RATES[0], RATES[0])];
    let mut fleet = Fleet::new(1, 10, &limits, 3);
    (0..10).for_each(|daemon| fleet.set_rates(daemon, vec![RATES[0]]));
    fleet.run_until(6_000);
    for _ in 0..8 {
        fleet.set_daemons(2);
        let end_ms = fleet.now_ms + 1_000;
        fleet.run_until(end_ms);
    }
    let allowed = QuotaTerms::default().allowance(limits[0]);
    assert!(most_in_window(&fleet.runs[0], WINDOW_MS) as f64 <= allowed);
    // A lasting lower number is used, so that the shares of removed daemons are not lost.
    (2..10).for_each(|daemon| fleet.kill(daemon));
    for _ in 0..12 {
        fleet.set_daemons(2);
        let end_ms = fleet.now_ms + 1_000;
        fleet.run_until(end_ms);
    }
    let last = fleet.runs[0].iter().filter(|at| **at >= fleet.now_ms - 4_000).count();
    assert!(last as f64 >= 4.0 * RATES[0] * 0.95, "{last} in four seconds");
}

/// New daemons are known to one daemon of the zone only, until the others poll the directory: if the
/// keeper divided the limit by the number that it knows itself, it would use the shares of the new
/// ones too.
#[test]
fn daemons_known_to_one_member_count() {
    let limits = [limit(RATES[0], RATES[0])];
    let mut fleet = Fleet::new(1, 10, &limits, 3);
    fleet.set_rates(0, vec![RATES[0] * 4.0]);
    for _ in 0..12 {
        fleet.set_daemons(10);
        fleet.set_daemons_of(9, 20);
        let end_ms = fleet.now_ms + 1_000;
        fleet.run_until(end_ms);
    }
    let most = most_in_window(&fleet.runs[0], WINDOW_MS) as f64;
    assert!(most <= QuotaTerms::default().allowance(limits[0]) / 2.0 + 1.0, "{most} runs");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The requests of all daemons together exceed an allowance: a share is used twice, or credit is
    /// doubled, after some order of faults.
    #[test]
    fn allowance_holds_under_faults(
        seed in any::<u64>(),
        lost in 0.0..0.1f64,
        late in 0.0..0.2f64,
        late_ms in 0..4_000u64,
        wrong_keeper in 0.0..0.1f64,
        steps in steps(),
    ) {
        run_schedule(seed, LinkFaults { lost, late, late_ms, wrong_keeper }, &steps)?;
    }
}
