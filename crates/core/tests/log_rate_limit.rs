//! How many lines are logged when everything fails at once.

use pomeloreach_core::event::Event;
use pomeloreach_core::log_rate_limit::LogRateLimiter;

fn admitted(
    budget: &mut LogRateLimiter,
    event: Event,
    per_ms: u64,
    ms: std::ops::Range<u64>,
) -> u64 {
    let mut lines = 0;
    for now_ms in ms {
        lines += (0..per_ms).filter(|_| budget.allows(event, now_ms)).count() as u64;
    }
    lines
}

/// A thousand failures a second for ten seconds.
#[test]
fn burst_is_bounded() {
    let mut budget = LogRateLimiter::default();
    let lines = admitted(&mut budget, Event::RequestFailed, 1, 0..10_000);
    assert!((600..=720).contains(&lines), "50 a second and 200 saved up: {lines}");
    let left_out = budget.take_due_report(10_000);
    assert_eq!(left_out, [(Event::RequestFailed, 10_000 - lines)], "every line is accounted for");
    assert!(budget.take_due_report(20_000).is_empty(), "once");
}

#[test]
fn failures_have_room_of_their_own() {
    let mut budget = LogRateLimiter::default();
    admitted(&mut budget, Event::RequestAnswered, 5, 0..5_000);
    let more = (0..10).filter(|_| budget.allows(Event::RequestAnswered, 5_000)).count();
    assert!(more <= 1, "its budget is spent, but for what came since: {more}");
    assert!(budget.allows(Event::RequestFailed, 5_000));
    assert!(budget.allows(Event::VersionApplied, 5_000));
}

/// What a daemon does at its usual load is logged whole, but for a sample of what went well.
#[test]
fn usual_load_is_whole() {
    let mut budget = LogRateLimiter::default();
    let failed = (0..60).filter(|s| budget.allows(Event::RequestFailed, s * 1_000)).count();
    assert_eq!(failed, 60);
    let answered: usize = (0..60_u64)
        .map(|s| (0..40).filter(|_| budget.allows(Event::RequestAnswered, s * 1_000)).count())
        .sum();
    assert!((300..=330).contains(&answered), "a sample: {answered}");
}
