//! The limits on the number of log lines per event.

use pomeloreach_core::event::Event;
use pomeloreach_core::log_rate_limit::LogRateLimiter;

fn count_allowed(
    limiter: &mut LogRateLimiter,
    event: Event,
    per_ms: u64,
    ms: std::ops::Range<u64>,
) -> u64 {
    let mut lines = 0;
    for now_ms in ms {
        lines += (0..per_ms).filter(|_| limiter.allows(event, now_ms)).count() as u64;
    }
    lines
}

/// 1,000 failures per second for 10 s.
#[test]
fn burst_is_limited() {
    let mut limiter = LogRateLimiter::default();
    let lines = count_allowed(&mut limiter, Event::RequestFailed, 1, 0..10_000);
    assert!((600..=720).contains(&lines), "expected 50 per second and a burst of 200: {lines}");
    let left_out = limiter.take_due_report(10_000);
    assert_eq!(
        left_out,
        [(Event::RequestFailed, 10_000 - lines)],
        "every line must be written or counted"
    );
    assert!(limiter.take_due_report(20_000).is_empty(), "counts must be reported only once");
}

#[test]
fn events_have_separate_limits() {
    let mut limiter = LogRateLimiter::default();
    count_allowed(&mut limiter, Event::RequestAnswered, 5, 0..5_000);
    let more = (0..10).filter(|_| limiter.allows(Event::RequestAnswered, 5_000)).count();
    assert!(more <= 1, "only the refill since the last line may be left: {more}");
    assert!(limiter.allows(Event::RequestFailed, 5_000));
    assert!(limiter.allows(Event::VersionApplied, 5_000));
}

/// At normal load every failure is logged, and a sample of the successes.
#[test]
fn failures_logged_at_normal_load() {
    let mut limiter = LogRateLimiter::default();
    let failed = (0..60).filter(|s| limiter.allows(Event::RequestFailed, s * 1_000)).count();
    assert_eq!(failed, 60);
    let answered: usize = (0..60_u64)
        .map(|s| (0..40).filter(|_| limiter.allows(Event::RequestAnswered, s * 1_000)).count())
        .sum();
    assert!((300..=330).contains(&answered), "expected a sample of the 2,400 lines: {answered}");
}
