//! Client accounts: the owners of the API keys with which callers authenticate; see
//! `docs/design/accounts-and-limits.md`.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeSet;
use std::fmt;

/// Length of a key's digest, in bytes.
const KEY_DIGEST_BYTES: usize = 32;

/// The BLAKE3 digest of an API key. Daemons keep, send and compare only digests, so that neither a
/// dump nor the time of a comparison reveals a part of a key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; KEY_DIGEST_BYTES]);

impl KeyDigest {
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest: a guessed key could be tested against it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let hex: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        serializer.serialize_str(&hex)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let hex = String::deserialize(deserializer)?;
        let digest = blake3::Hash::from_hex(&hex).map_err(serde::de::Error::custom)?;
        Ok(Self(digest.into()))
    }
}

/// The limit on the requests of one account, summed over all daemons. Amounts are in thousandths of
/// a request, so that rows can be compared and hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLimit {
    pub rate_milli_per_s: u64,
    pub burst_milli: u64,
}

/// A client account of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub keys: BTreeSet<KeyDigest>,
    /// Orders requests before the priority of their route; 0 runs first.
    #[serde(default)]
    pub priority: u8,
    /// Absent if the account's requests are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaLimit>,
}

/// The number of priorities that a rank distinguishes for routes, and for accounts.
const PRIORITIES: u8 = 16;

/// The rank of a request: by the priority of its account, then by that of its route. Higher
/// priorities than `PRIORITIES` allows count as the last one.
pub fn combined_rank(account_priority: u8, route_priority: u8) -> u8 {
    account_priority.min(PRIORITIES - 1) * PRIORITIES + route_priority.min(PRIORITIES - 1)
}

/// The account priority and the route priority that a rank was combined from.
pub fn split_rank(rank: u8) -> (u8, u8) {
    (rank / PRIORITIES, rank % PRIORITIES)
}
