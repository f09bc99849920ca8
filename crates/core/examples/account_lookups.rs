//! Measures the time of an account look-up, and the memory of the accounts and their index, with a
//! few and with many keys. Run it with `cargo run --release -p pomeloreach-core --example
//! account_lookups KEYS`, once for each number of keys, because memory that was freed would be used
//! again; `docs/CAPACITY.md` has the figures.

use pomeloreach_core::account::{Account, KeyDigest};
use pomeloreach_core::account_index::AccountIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of measured look-ups of each series.
const LOOKUPS: usize = 2_000_000;
/// About how many keys are held in memory to measure the size of one set of accounts: a few sets are
/// too small to be seen in the memory of the process.
const KEYS_HELD: usize = 400_000;
/// The number of series, of which the fastest, the median and the slowest are printed.
const SERIES: usize = 9;

fn key(index: usize) -> String {
    format!("key-{index:08}-0123456789abcdef")
}

/// Accounts with one key each.
fn accounts(count: usize) -> BTreeMap<Arc<str>, Account> {
    let account = |index| {
        let keys = BTreeSet::from([KeyDigest::of(&key(index))]);
        (format!("account-{index}").into(), Account { keys, ..Account::default() })
    };
    (0..count).map(account).collect()
}

/// The resident memory of this process, in kilobytes.
fn memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status can be read");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.and_then(|text| text.parse().ok()).expect("the status has the resident memory")
}

/// The times of one call of `call` in nanoseconds, from the fastest series to the slowest.
fn times_ns(mut call: impl FnMut(usize)) -> Vec<f64> {
    let mut series = || {
        let started = Instant::now();
        (0..LOOKUPS).for_each(&mut call);
        let took: Duration = started.elapsed();
        took.as_secs_f64() * 1e9 / LOOKUPS as f64
    };
    let mut times: Vec<f64> = (0..SERIES).map(|_| series()).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn print_times(label: &str, times: &[f64]) {
    let (fastest, median, slowest) = (times[0], times[SERIES / 2], times[SERIES - 1]);
    println!("  {label}: median {median:.0} ns, fastest {fastest:.0}, slowest {slowest:.0}");
}

fn main() {
    let count = std::env::args().nth(1).and_then(|count| count.parse().ok());
    let count: usize = count.expect("the first argument is a number of keys");
    let copies = KEYS_HELD / count;
    let before = memory_kb();
    let rows: Vec<_> = (0..copies).map(|_| accounts(count)).collect();
    let with_rows = memory_kb();
    let started = Instant::now();
    let build = |rows| AccountIndex::new(rows).expect("no key is shared");
    let indexes: Vec<_> = rows.iter().map(build).collect();
    let built_ms = started.elapsed().as_secs_f64() * 1e3 / copies as f64;
    let with_indexes = memory_kb();
    let per_copy_kb = |from: f64, to: f64| (to - from) / copies as f64;
    println!(
        "{count} keys: rows {:.1} kB, index {:.1} kB, built in {built_ms:.3} ms",
        per_copy_kb(before, with_rows),
        per_copy_kb(with_rows, with_indexes),
    );
    let index = &indexes[0];
    let keys: Vec<String> = (0..count).map(key).collect();
    let digests: Vec<KeyDigest> = keys.iter().map(|key| KeyDigest::of(key)).collect();
    // A stride that is prime to the counts visits all keys, in an order that caches cannot
    // predict.
    let position = |lookup: usize| lookup.wrapping_mul(7_919) % count;
    let hashing = times_ns(|lookup| {
        black_box(KeyDigest::of(black_box(&keys[position(lookup)])));
    });
    print_times("hashing a key", &hashing);
    let known = times_ns(|lookup| {
        let digest = digests[position(lookup)];
        black_box(index.account_for(false, black_box(Some(digest)), true).is_ok());
    });
    print_times("look-up of a known key", &known);
    let unknown = KeyDigest::of("unknown");
    let unknown = times_ns(|_| {
        black_box(index.account_for(false, black_box(Some(unknown)), true).is_ok());
    });
    print_times("look-up of an unknown key", &unknown);
}
