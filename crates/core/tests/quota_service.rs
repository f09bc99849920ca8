//! What is within the quota is served: in a simulated fleet of the present size, at steady state,
//! after a shift between zones, and while one account wants far more than its limit.

mod quota_fleet;

use pomeloreach_core::account::QuotaLimit;
use quota_fleet::Fleet;

const ZONES: usize = 6;
const PER_ZONE: usize = 10;
const ACCOUNTS: usize = 71;
/// The requests of all accounts together, by second.
const REQUESTS_PER_S: f64 = 2_000.0;
/// Limits as a multiple of the usual rate.
const LIMIT_FACTOR: f64 = 1.6;
const SURGE_FACTOR: f64 = 7.5;
const SERVED_SHARE_MIN: f64 = 0.95;
/// How long after a shift the served share may be lower, in milliseconds.
const SHIFT_MS: u64 = 2_000;
/// When the measurements begin: all daemons have started, and their buckets have filled.
const STEADY_MS: u64 = 10_000;
/// The messages that a daemon may send each second, at 33 requests a second: every message costs
/// processor time. One request for credit and one grant for each request would be 60.
const MESSAGES_MAX: f64 = 40.0;
/// The measured periods are this long.
const MEASURED_MS: u64 = 8_000;

/// The usual rate of an account: its size falls with its rank to the power of 1.2.
fn usual_rate(account: usize) -> f64 {
    let size = |rank: usize| (rank as f64 + 1.0).powf(-1.2);
    let total: f64 = (0..ACCOUNTS).map(size).sum();
    REQUESTS_PER_S * size(account) / total
}

/// The part of an account's callers in a zone: a third of the accounts have callers in one zone
/// only, a third in two, and the rest everywhere.
fn zone_share(account: usize, zone: usize) -> f64 {
    match account % 3 {
        0 => 1.0 / ZONES as f64,
        1 => f64::from(u8::from(account % ZONES == zone)),
        _ => f64::from(u8::from(account % ZONES == zone || (account + 3) % ZONES == zone)) / 2.0,
    }
}

/// Gives all daemons their rates. `moved` moves a part of the callers from one zone to another;
/// `surge` is an account with [`SURGE_FACTOR`] times its usual rate.
fn set_rates(fleet: &mut Fleet, moved: Option<(usize, usize, f64)>, surge: Option<usize>) {
    for index in 0..fleet.daemons.len() {
        let zone = fleet.daemons[index].zone;
        let rate = |account: usize| {
            let share = match moved {
                Some((from, _, part)) if zone == from => zone_share(account, zone) * (1.0 - part),
                Some((from, to, part)) if zone == to => {
                    zone_share(account, zone) + zone_share(account, from) * part
                }
                _ => zone_share(account, zone),
            };
            let factor = if surge == Some(account) { SURGE_FACTOR } else { 1.0 };
            usual_rate(account) * factor * share / PER_ZONE as f64
        };
        fleet.set_rates(index, (0..ACCOUNTS).map(rate).collect());
    }
}

fn start() -> Fleet {
    let limits: Vec<QuotaLimit> = (0..ACCOUNTS)
        .map(|account| {
            let milli = (usual_rate(account) * LIMIT_FACTOR * 1_000.0) as u64;
            QuotaLimit { rate_milli_per_s: milli, burst_milli: milli }
        })
        .collect();
    let mut fleet = Fleet::new(ZONES, PER_ZONE, &limits, 7);
    set_rates(&mut fleet, None, None);
    fleet.run_until(STEADY_MS);
    fleet
}

/// How many of the arrivals in a period a single bucket with the whole limit would have served, and
/// how many were served.
fn served(fleet: &Fleet, account: usize, from_ms: u64, to_ms: u64) -> (f64, f64) {
    let rate_per_ms = usual_rate(account) * LIMIT_FACTOR / 1_000.0;
    let burst = rate_per_ms * 1_000.0;
    let (mut tokens, mut last_ms, mut within) = (burst, 0, 0.0);
    for at_ms in &fleet.arrivals[account] {
        tokens = (tokens + (at_ms - last_ms) as f64 * rate_per_ms).min(burst);
        last_ms = *at_ms;
        if tokens >= 1.0 {
            tokens -= 1.0;
            within += f64::from(u8::from((from_ms..to_ms).contains(at_ms)));
        }
    }
    let runs = fleet.runs[account].iter().filter(|at_ms| (from_ms..to_ms).contains(*at_ms));
    (within, runs.count() as f64)
}

/// The served share of what is within the limits, over all accounts. Prints the least of any.
fn served_share(fleet: &Fleet, from_ms: u64, to_ms: u64) -> f64 {
    let mut total = (0.0, 0.0);
    let mut least = (f64::MAX, 0);
    for account in 0..ACCOUNTS {
        let (within, ran) = served(fleet, account, from_ms, to_ms);
        // An account must not make up for another one.
        total = (total.0 + within, total.1 + ran.min(within));
        if within > 0.0 && ran / within < least.0 {
            least = (ran / within, account);
        }
    }
    println!("served {:.4}, least {:.3} of account {}", total.1 / total.0, least.0, least.1);
    total.1 / total.0
}

/// Without loans between zones, or if credit mostly lapses, accounts whose callers are in few
/// zones are refused within their limits.
#[test]
fn steady_state() {
    let mut fleet = start();
    let messages = fleet.messages;
    fleet.run_until(STEADY_MS + MEASURED_MS);
    let per_daemon = (fleet.messages - messages) as f64 / MEASURED_MS as f64 * 1_000.0 / 60.0;
    println!("{per_daemon:.1} messages a second and daemon");
    assert!(per_daemon <= MESSAGES_MAX, "{per_daemon} messages a second and daemon");
    let share = served_share(&fleet, STEADY_MS, STEADY_MS + MEASURED_MS);
    assert!(share >= SERVED_SHARE_MIN, "served {share}");
}

/// Loans do not follow callers that move between zones, within a region and between regions.
#[test]
fn shift_between_zones() {
    for (from, to) in [(0, 1), (0, 4)] {
        let mut fleet = start();
        set_rates(&mut fleet, Some((from, to, 0.5)), None);
        let from_ms = STEADY_MS + SHIFT_MS;
        fleet.run_until(from_ms + MEASURED_MS);
        served_share(&fleet, STEADY_MS, from_ms);
        // The first seconds after the permitted time must not be hidden by later ones.
        for second in 0..MEASURED_MS / 1_000 {
            let from_ms = from_ms + second * 1_000;
            let share = served_share(&fleet, from_ms, from_ms + 1_000);
            assert!(share >= SERVED_SHARE_MIN, "from {from} to {to}: served {share}");
        }
    }
}

/// An account with far more requests than its limit gets less than the rate of its limit, because
/// credit lapses or stays where nobody asks; or takes the credit of others. The burst is not counted:
/// a zone has only its part of it.
#[test]
fn surge_of_one_account() {
    for surge in [0, 1, 20] {
        let mut fleet = start();
        set_rates(&mut fleet, None, Some(surge));
        let (from_ms, to_ms) = (STEADY_MS + SHIFT_MS, STEADY_MS + 6_000);
        fleet.run_until(to_ms);
        let (within, ran) = served(&fleet, surge, from_ms, to_ms);
        println!("surge of {surge}: {ran} of {within}");
        assert!(ran >= within * SERVED_SHARE_MIN, "account {surge}: {ran} of {within}");
        let share = served_share(&fleet, STEADY_MS, to_ms);
        assert!(share >= SERVED_SHARE_MIN, "served {share}");
    }
}
