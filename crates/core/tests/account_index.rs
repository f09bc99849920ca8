//! Finding the client account of a request by the digest of its API key.

use pomeloreach_core::account::{Account, KeyDigest, QuotaLimit, combined_rank};
use pomeloreach_core::account_index::{AccountIndex, KeyProblem};
use pomeloreach_core::check::check_tables;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::{Row, Tables};
use pomeloreach_core::mesh::delta::Delta;
use pomeloreach_core::mesh::history::RowHistory;
use pomeloreach_core::mesh::published::PublishedConfig;
use pomeloreach_core::mesh::state::ConfigState;
use pomeloreach_core::row::{Pool, Route};
use std::collections::BTreeMap;
use std::sync::Arc;

const QUOTA: QuotaLimit = QuotaLimit { rate_milli_per_s: 4_000, burst_milli: 2_500 };

fn account(keys: &[&str]) -> Account {
    Account { keys: keys.iter().map(|key| KeyDigest::of(key)).collect(), ..Account::default() }
}

fn accounts(rows: &[(&str, &[&str])]) -> BTreeMap<Arc<str>, Account> {
    rows.iter().map(|(name, keys)| ((*name).into(), account(keys))).collect()
}

/// The name of the account that a request gets, or why it is refused.
fn find(index: &AccountIndex, is_public: bool, key: Option<&str>) -> Result<String, KeyProblem> {
    let found = index.account_for(is_public, key.map(KeyDigest::of), true)?;
    Ok(found.map_or_else(|| "none".to_string(), |account| account.name.to_string()))
}

/// Guards against an account that is found by some of its keys only, and against an unknown key that
/// passes or is reported as a missing one.
#[test]
fn keys_of_two_accounts() {
    let index = AccountIndex::new(&accounts(&[("a", &["k1", "k2"]), ("b", &["k3"])])).unwrap();
    for (key, name) in [("k1", "a"), ("k2", "a"), ("k3", "b")] {
        assert_eq!(find(&index, false, Some(key)), Ok(name.to_string()));
        assert_eq!(find(&index, true, Some(key)), Ok(name.to_string()), "on a public route");
    }
    assert_eq!(find(&index, false, Some("k4")), Err(KeyProblem::Unknown));
    assert_eq!(find(&index, false, None), Err(KeyProblem::Missing));
}

/// Guards against a public route that refuses a request because of its key.
#[test]
fn public_route_accepts_any_key() {
    let index = AccountIndex::new(&accounts(&[("a", &["k1"])])).unwrap();
    assert_eq!(find(&index, true, Some("k4")), Ok("none".to_string()));
    assert_eq!(find(&index, true, None), Ok("none".to_string()));
}

/// Guards against a configuration that asks for keys although it has no account, and against one that
/// accepts every request because its only account has no key.
#[test]
fn configurations_without_keys() {
    let without_accounts = AccountIndex::new(&BTreeMap::new()).unwrap();
    assert_eq!(find(&without_accounts, false, None), Ok("none".to_string()));
    assert_eq!(find(&without_accounts, false, Some("k1")), Ok("none".to_string()));
    let without_keys = AccountIndex::new(&accounts(&[("a", &[])])).unwrap();
    assert_eq!(find(&without_keys, false, None), Err(KeyProblem::Missing));
    assert_eq!(find(&without_keys, false, Some("k1")), Err(KeyProblem::Unknown));
}

/// Guards against a request that runs without the account of its key because the daemon has not learned
/// of the version that brought the account.
#[test]
fn unknown_key_needs_current_version() {
    let key = |name: &str| Some(KeyDigest::of(name));
    let without_accounts = AccountIndex::new(&BTreeMap::new()).unwrap();
    let index = AccountIndex::new(&accounts(&[("a", &["k1"])])).unwrap();
    for (index, is_public) in
        [(&without_accounts, false), (&without_accounts, true), (&index, true)]
    {
        let unconfirmed = Err(KeyProblem::Unconfirmed);
        assert_eq!(index.account_for(is_public, key("k4"), false), unconfirmed);
        assert_eq!(index.account_for(is_public, key("k4"), true), Ok(None));
        assert_eq!(index.account_for(is_public, None, false), Ok(None), "no version helps");
    }
    assert_eq!(index.account_for(false, key("k4"), false), Err(KeyProblem::Unknown));
    assert!(index.account_for(false, key("k1"), false).unwrap().is_some());
}

/// Guards against a version that counts as current for a daemon that is cut off, or knows of a newer one.
#[yare::parameterized(
    confirmed = { Some(1_600), 7, true },
    not_confirmed = { None, 7, false },
    confirmed_long_ago = { Some(2_500), 7, false },
    newer_version_known = { Some(100), 8, false },
)]
fn current_versions(confirmed_age_ms: Option<u32>, newest_known_version: u64, is_current: bool) {
    let state = ConfigState { version: 7, confirmed_age_ms, ..ConfigState::default() };
    assert_eq!(state.is_current(newest_known_version), is_current);
}

/// Guards against a match that loses the priority or the quota of its account.
#[test]
fn match_has_priority_and_quota() {
    let row = Account { priority: 3, quota: Some(QUOTA), ..account(&["k1"]) };
    let index = AccountIndex::new(&BTreeMap::from([("a".into(), row)])).unwrap();
    let found = index.account_for(false, Some(KeyDigest::of("k1")), true).unwrap().unwrap();
    assert_eq!((found.priority, found.quota), (3, Some(QUOTA)));
}

/// Guards against a version in which it depends on the daemon whose request a shared key makes.
#[test]
fn shared_key_is_refused() {
    let rows = accounts(&[("a", &["k1", "k2"]), ("b", &["k3"]), ("c", &["k2"])]);
    let refusal = PublishedConfig { version: 4, accounts: rows, ..PublishedConfig::default() }
        .account_index()
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::VersionKeyShared);
    assert_eq!(refusal.reason, "accounts 'a' and 'c' have the same key");
}

/// Guards against 401, after which callers do not try again, for a key that a newer version may have
/// added.
#[test]
fn codes_of_refused_keys() {
    let code = |problem: KeyProblem, newest_known| problem.code(7, newest_known);
    assert_eq!(code(KeyProblem::Unknown, 7), ResultCode::KeyRefused);
    assert_eq!(code(KeyProblem::Unknown, 8), ResultCode::ConfigOutdated);
    assert_eq!(code(KeyProblem::Missing, 7), ResultCode::KeyRefused);
    assert_eq!(code(KeyProblem::Missing, 8), ResultCode::KeyRefused);
    assert_eq!(code(KeyProblem::Unconfirmed, 7), ResultCode::ConfigOutdated);
}

/// Guards against an update between daemons in which a withdrawn key stays valid.
#[test]
fn delta_withdraws_keys() {
    let config = |version, rows: &[(&str, &[&str])]| PublishedConfig {
        version,
        accounts: accounts(rows),
        ..PublishedConfig::default()
    };
    let base = config(3, &[("a", &["k1", "k2"]), ("b", &["k3"])]);
    let next = config(4, &[("a", &["k1"])]);
    let mut history = RowHistory::default();
    history.record(&config(2, &[]), &base);
    history.record(&base, &next);
    for delta in [Delta::between(&base, &next), history.delta_since(3, &next, &next.digest())] {
        let json = serde_json::to_vec(&delta).unwrap();
        let delta: Delta = serde_json::from_slice(&json).unwrap();
        assert_eq!(delta.accounts.len(), 2);
        let index = delta.apply(&base).unwrap().account_index().unwrap();
        assert_eq!(find(&index, false, Some("k1")), Ok("a".to_string()));
        assert_eq!(find(&index, false, Some("k2")), Err(KeyProblem::Unknown));
        assert_eq!(find(&index, false, Some("k3")), Err(KeyProblem::Unknown));
    }
}

/// Guards against keys, or digests by which a guessed key could be checked, in messages that are
/// formatted for people.
#[test]
fn digest_is_not_shown() {
    let shown = format!("{:?}", accounts(&[("a", &["k1"])]));
    let json = serde_json::to_string(&KeyDigest::of("k1")).unwrap();
    assert!(!shown.contains("k1"), "{shown}");
    assert!(!shown.contains(json.trim_matches('"')), "{shown}");
}

/// Guards against a request of a less urgent account that passes one of a more urgent account, and
/// against another order of the routes of one account.
#[test]
fn account_priority_comes_first() {
    assert!(combined_rank(0, 9) < combined_rank(1, 0));
    assert!(combined_rank(1, 0) < combined_rank(1, 1));
    assert!(combined_rank(1, 255) < combined_rank(2, 0));
    assert_eq!(combined_rank(255, 255), u8::MAX);
}

/// Guards against a field that our own deployment accepts and ignores.
#[test]
fn public_route_in_our_tables() {
    let row = |value| Arc::new(Row { changed_in: 1, value });
    let route = |is_public| Route {
        host: "shop.example".into(),
        path_prefix: "/".into(),
        methods: Default::default(),
        pool: "p".into(),
        idempotent: false,
        deadline_ms: 1_000,
        weights: BTreeMap::new(),
        target_latency_ms: None,
        priority: 0,
        attempts_max: None,
        is_public,
    };
    let tables = |is_public| Tables {
        routes: BTreeMap::from([("r".into(), row(route(is_public)))]),
        pools: BTreeMap::from([(
            "p".into(),
            Arc::new(Row { changed_in: 1, value: Pool::with_defaults("p".into()) }),
        )]),
    };
    assert_eq!(check_tables(&tables(false)), Ok(()));
    let refusal = check_tables(&tables(true)).unwrap_err();
    assert!(refusal.reason.contains("route 'r': public"), "{refusal}");
}
