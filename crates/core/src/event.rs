//! Numbered log events, one row each in `docs/EVENTS.md`.

use strum::{Display, EnumIter};

/// The kind of a log line. The hundreds group the kinds by subject, such as 2xx for the
/// configuration and 8xx for requests.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u16)]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    DaemonStarted = 100,
    DaemonReady = 101,
    DaemonDraining = 102,
    DaemonStopped = 103,
    SettingsChanged = 104,
    SettingsRefused = 105,
    /// Log lines were left out, because of a rate limit or a slow reader of the log.
    LogsLeftOut = 106,
    SettingsReread = 107,
    VersionApplied = 200,
    VersionRefused = 201,
    SnapshotApplied = 202,
    SnapshotWritten = 203,
    SnapshotRefused = 204,
    /// Edits up to a version may now be removed from the log of edits in the store.
    LogCollected = 205,
    EditPublished = 206,
    /// The version in force has the first accounts with a quota.
    QuotasInForce = 207,
    RelayClaimed = 300,
    RelayLost = 301,
    /// The daemon acquired the leader role.
    LeadClaimed = 302,
    LeadLost = 303,
    ParentJoined = 400,
    ParentLost = 401,
    ChildJoined = 402,
    ChildLost = 403,
    ChildRedirected = 404,
    PeerJoined = 405,
    PeerLost = 406,
    RecordsResynced = 407,
    /// Another daemon keeps the quotas of the zone.
    QuotaKeeperChanged = 408,
    TargetAnnounced = 500,
    TargetLapsed = 501,
    /// An endpoint record was marked as gone.
    EndpointGone = 502,
    TargetLeft = 503,
    TargetUnreachable = 504,
    HeartbeatRefused = 505,
    LeaveNotStored = 506,
    StoreFailing = 600,
    StoreRecovered = 601,
    /// The store came back from an earlier copy.
    StoreRestored = 602,
    /// The store holds an older version than the one in force.
    StoreBehind = 603,
    /// The store came back without this daemon's record, or with one that was withdrawn.
    RecordRestored = 604,
    PeerRefused = 700,
    InputRefused = 701,
    AcceptFailed = 702,
    /// A caller's request was refused or its connection closed, because a bound was reached.
    ClientBounded = 703,
    RequestFailed = 800,
    AttemptRepeated = 801,
    HeaderDropped = 802,
    /// A caller of this daemon got a response with a status below 500.
    RequestAnswered = 803,
    /// The inbound proxy refused a request before its target received it.
    DoorRefused = 804,
    /// Forwarding a request to the local target failed.
    HandOverFailed = 805,
    /// The local target answered a request.
    RequestRun = 806,
    RequestCancelled = 807,
}

impl Event {
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// An event with its details as `key=value` words, which become the message of the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventRecord {
    pub event: Event,
    pub detail: String,
}
