//! Numbered result codes, one row each in `docs/ERRORS.md`.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, FromRepr};

/// The result of an edit (1001 to 1099), of the check of a configuration version (1101 to 1199), of
/// a request (2000 to 2999) or of a call to the operator port (from 3001).
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumIter,
    EnumString,
    FromRepr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[repr(u16)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ResultCode {
    EditAccepted = 1001,
    EditUnchanged = 1002,
    EditConflict = 1003,
    /// It is not known whether the edit was accepted.
    EditUnknown = 1004,
    /// The store is unavailable, and the edit was not accepted.
    StoreAway = 1005,
    PublisherBusy = 1006,
    VersionUndecodable = 1101,
    VersionDigestMismatch = 1102,
    VersionPoolMissing = 1103,
    VersionRouteAmbiguous = 1104,
    VersionRowOutOfBounds = 1105,
    VersionTooLarge = 1106,
    /// The edit expects another version of a row than the present one.
    VersionRowChanged = 1107,
    VersionEditRepeated = 1108,
    VersionRowRepeated = 1109,
    /// Two client accounts have the same API key.
    VersionKeyShared = 1110,
    Answered = 2000,
    NoRoute = 2001,
    NoTarget = 2002,
    TargetFull = 2003,
    TargetDraining = 2004,
    /// The deadline passed, or could not be met, before the request ran.
    DeadlineBeforeRun = 2005,
    RetryBudgetSpent = 2006,
    /// The request is malformed or ended before its body was complete.
    RequestCut = 2007,
    RequestTooLarge = 2008,
    /// The address now belongs to another instance than the chosen one.
    WrongInstance = 2009,
    TargetUnreachable = 2010,
    DaemonNotReady = 2011,
    /// No route of the version in force matches, or no account has the API key of the request, and a
    /// newer version exists, which may have one.
    ConfigOutdated = 2012,
    /// The route needs the API key of a client account, and the request has none or an unknown one.
    KeyRefused = 2013,
    /// The client account has used up its quota.
    QuotaExceeded = 2014,
    /// The daemon's memory budget has no room for the request.
    MemoryFull = 2015,
    /// The connection failed after the request was forwarded, before an answer arrived.
    AnswerLost = 2101,
    /// The deadline passed after the request was forwarded.
    DeadlineAfterRun = 2102,
    /// The answer ended before it was complete.
    AnswerCut = 2103,
    AnswerTooLarge = 2104,
    Malformed = 3001,
    BodyTooLarge = 3002,
    NotFound = 3003,
    TimedOut = 3004,
}

/// Whether a target ran a request, as far as its result code shows.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The target answered, and the answer is complete.
    Answered,
    /// No byte of the request was forwarded to a target.
    NotRun,
    /// The request may have run, but there is no complete answer.
    Unknown,
}

impl ResultCode {
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Whether a target ran the request. Only meaningful for the codes of requests, 2000 to 2999.
    pub fn outcome(self) -> Outcome {
        match self.number() {
            2000 => Outcome::Answered,
            2001..=2100 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// The HTTP status of a response with this code to a caller or operator.
    pub fn http_status(self) -> u16 {
        match self {
            Self::EditAccepted | Self::EditUnchanged | Self::Answered => 200,
            Self::EditConflict => 409,
            Self::EditUnknown | Self::DeadlineBeforeRun | Self::DeadlineAfterRun => 504,
            Self::AnswerLost | Self::AnswerCut | Self::AnswerTooLarge => 502,
            Self::NoRoute | Self::NotFound => 404,
            Self::RequestCut | Self::Malformed => 400,
            Self::KeyRefused => 401,
            Self::QuotaExceeded => 429,
            Self::RequestTooLarge | Self::BodyTooLarge => 413,
            Self::TimedOut => 408,
            Self::StoreAway
            | Self::PublisherBusy
            | Self::NoTarget
            | Self::TargetFull
            | Self::TargetDraining
            | Self::RetryBudgetSpent
            | Self::WrongInstance
            | Self::TargetUnreachable
            | Self::DaemonNotReady
            | Self::ConfigOutdated
            | Self::MemoryFull => 503,
            Self::VersionUndecodable
            | Self::VersionDigestMismatch
            | Self::VersionPoolMissing
            | Self::VersionRouteAmbiguous
            | Self::VersionRowOutOfBounds
            | Self::VersionTooLarge
            | Self::VersionRowChanged
            | Self::VersionEditRepeated
            | Self::VersionRowRepeated
            | Self::VersionKeyShared => 422,
        }
    }
}
