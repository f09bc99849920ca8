//! `pomeloreach traffic`.

use crate::client::Client;
use crate::error::CliError;
use crate::print;
use argh::FromArgs;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The counters that the table is made of, see `docs/METRICS.md`.
const MESSAGES_METRIC: &str = "pomeloreach_link_messages_total";
const BYTES_METRIC: &str = "pomeloreach_link_bytes_total";

/// Show how many messages and bytes the daemons received from each other, by kind and distance.
#[derive(FromArgs)]
#[argh(subcommand, name = "traffic")]
pub struct Traffic {
    /// the operator ports of further daemons, whose counts are added
    #[argh(positional)]
    daemons: Vec<SocketAddr>,
}

/// One kind of message from one distance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Labels {
    kind: String,
    distance: String,
}

/// The counts of all daemons for one kind and distance.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Counts {
    messages: u64,
    bytes: u64,
}

/// A row of the output.
#[derive(Serialize)]
struct Row {
    kind: String,
    distance: String,
    #[serde(flatten)]
    counts: Counts,
}

impl Traffic {
    pub fn run(self, client: Client, as_json: bool) -> Result<(), CliError> {
        let mut totals: BTreeMap<Labels, Counts> = BTreeMap::new();
        let further = self.daemons.into_iter().map(|addr| Client { addr });
        for client in std::iter::once(client).chain(further) {
            add_counts(&mut totals, &client.metrics()?);
        }
        let mut rows: Vec<Row> = totals
            .into_iter()
            .map(|(Labels { kind, distance }, counts)| Row { kind, distance, counts })
            .collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.counts.bytes));
        if as_json {
            return print::json(&rows);
        }
        let cells = |row: Row| {
            let Counts { messages, bytes } = row.counts;
            vec![row.kind, row.distance, messages.to_string(), bytes.to_string()]
        };
        let cells: Vec<_> = rows.into_iter().map(cells).collect();
        print::text(&print::format_table(&["KIND", "DISTANCE", "MESSAGES", "BYTES"], &cells))
    }
}

/// Adds the counts of one daemon's metrics. Lines of other metrics are ignored.
fn add_counts(totals: &mut BTreeMap<Labels, Counts>, metrics: &str) {
    for (metric, labels, value) in metrics.lines().filter_map(parse_counter) {
        let counts = totals.entry(labels).or_default();
        match metric {
            MESSAGES_METRIC => counts.messages += value,
            _ => counts.bytes += value,
        }
    }
}

/// Parses a line such as `pomeloreach_link_bytes_total{kind="call",distance="same-zone"} 12`.
fn parse_counter(line: &str) -> Option<(&str, Labels, u64)> {
    let (metric, rest) = line.split_once('{')?;
    if metric != MESSAGES_METRIC && metric != BYTES_METRIC {
        return None;
    }
    let (labels, value) = rest.split_once('}')?;
    let label = |name: &str| {
        let mut pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.trim_matches('"').to_string())
    };
    let labels = Labels { kind: label("kind")?, distance: label("distance")? };
    Some((metric, labels, value.trim().parse().ok()?))
}
