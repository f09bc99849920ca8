//! Finds the client account of a request's API key in one version of the configuration.

use crate::account::{Account, KeyDigest, QuotaLimit};
use crate::code::ResultCode;
use crate::config::Refusal;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use strum::Display;

/// The account of a request, in the version in force when the request was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchedAccount {
    pub name: Arc<str>,
    pub priority: u8,
    pub quota: Option<QuotaLimit>,
}

/// Why a request is refused although its route exists.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum KeyProblem {
    /// The request has no key.
    Missing,
    /// No account has the request's key.
    Unknown,
    /// No account has the request's key in the version in force, which would let the request pass, but
    /// a newer version may have an account with it.
    Unconfirmed,
}

impl KeyProblem {
    /// The result of the request. Callers do not repeat a request after status 401, so a key that a
    /// newer version may have added must not get it. A missing key stays missing in any version.
    pub fn code(self, version_in_force: u64, newest_known_version: u64) -> ResultCode {
        match self {
            Self::Unconfirmed => ResultCode::ConfigOutdated,
            Self::Unknown if newest_known_version > version_in_force => ResultCode::ConfigOutdated,
            Self::Missing | Self::Unknown => ResultCode::KeyRefused,
        }
    }
}

/// The accounts of one version by the digests of their keys. The time of a look-up does not depend
/// on the number of accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    by_key: HashMap<KeyDigest, Arc<MatchedAccount>>,
    accounts: usize,
}

impl AccountIndex {
    /// Builds the index.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names two accounts with a common key, if there are any.
    pub fn new(accounts: &BTreeMap<Arc<str>, Account>) -> Result<Self, Refusal> {
        let keys = accounts.values().map(|account| account.keys.len()).sum();
        let mut by_key: HashMap<KeyDigest, Arc<MatchedAccount>> = HashMap::with_capacity(keys);
        for (name, account) in accounts {
            let (priority, quota) = (account.priority, account.quota);
            let matched = Arc::new(MatchedAccount { name: name.clone(), priority, quota });
            for key in &account.keys {
                match by_key.entry(*key) {
                    Entry::Vacant(entry) => drop(entry.insert(matched.clone())),
                    Entry::Occupied(entry) => {
                        let other = &entry.get().name;
                        let reason = format!("accounts '{other}' and '{name}' have the same key");
                        return Err(Refusal::new(ResultCode::VersionKeyShared, reason));
                    }
                }
            }
        }
        Ok(Self { by_key, accounts: accounts.len() })
    }

    /// The number of accounts, including those without keys.
    pub fn len(&self) -> usize {
        self.accounts
    }

    /// Whether the configuration has no account; callers then need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts == 0
    }

    /// Finds the account of a request to a route. A public route needs no key and accepts any, and so
    /// does every route without accounts. A request with an unknown key then runs without an account,
    /// which is only right if the version `is_current`: a newer one may have an account with the key.
    ///
    /// # Errors
    ///
    /// Returns why the request must be refused.
    pub fn account_for(
        &self,
        is_public: bool,
        key: Option<KeyDigest>,
        is_current: bool,
    ) -> Result<Option<Arc<MatchedAccount>>, KeyProblem> {
        let found = key.and_then(|key| self.by_key.get(&key));
        let needs_key = !is_public && !self.is_empty();
        match (found, key) {
            (Some(account), _) => Ok(Some(account.clone())),
            (None, Some(_)) if needs_key => Err(KeyProblem::Unknown),
            (None, None) if needs_key => Err(KeyProblem::Missing),
            (None, Some(_)) if !is_current => Err(KeyProblem::Unconfirmed),
            (None, _) => Ok(None),
        }
    }
}
