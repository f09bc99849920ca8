//! Replays every load pattern with every policy and prints the results as a table. For patterns with
//! client accounts, a second table has the served share of each account, with and without fair order.

use argh::FromArgs;
use pomeloreach_standins::replay::{AccountResults, Pattern, Policy, Results, patterns, replay};
use strum::IntoEnumIterator;

/// How often each pattern is replayed, each time with another seed.
const SEEDS: u64 = 5;

/// Replay load patterns with the placer and with baseline policies, and print a table.
#[derive(FromArgs)]
struct Options {
    /// only this policy, by its name in the table
    #[argh(option)]
    policy: Option<Policy>,

    /// only patterns whose names start with this
    #[argh(option, default = "String::new()")]
    pattern: String,
}

fn main() {
    let options: Options = argh::from_env();
    println!(
        "| Pattern | Policy | Worth | In time | Late | Refused | Refused late | Failed | p50 ms | p99 ms | \
         Rank 1 | Rank 2 | Far | Arrivals |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for pattern in patterns().into_iter().filter(|found| found.name.starts_with(&options.pattern)) {
        for policy in Policy::iter().filter(|found| options.policy.is_none_or(|p| p == *found)) {
            if policy == Policy::ArrivalOrder && pattern.accounts == 0 {
                // Without accounts, the fair order is the order of arrival.
                continue;
            }
            let runs: Vec<Results> =
                (0..SEEDS).map(|seed| replay(&pattern, policy, seed)).collect();
            let mean =
                |of: &dyn Fn(&Results) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            let share = |of: &dyn Fn(&Results) -> u64| {
                100.0 * mean(&|run: &Results| of(run) as f64 / run.requests.max(1) as f64)
            };
            println!(
                "| {} | {policy} | {:.3} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} | \
                 {:.1} | {:.1} | {:.2} |",
                pattern.name,
                mean(&|run| run.value_share()),
                share(&|run| run.in_time),
                share(&|run| run.late),
                share(&|run| run.refused),
                share(&|run| run.refused_late),
                share(&|run| run.failed),
                mean(&|run| run.quantile_ms(0.5) as f64),
                mean(&|run| run.quantile_ms(0.99) as f64),
                100.0 * mean(&|run| run.rank_in_time_share(1)),
                100.0 * mean(&|run| run.rank_in_time_share(2)),
                share(&|run| run.cross_region),
                share(&|run| run.inbound_arrivals) / 100.0,
            );
        }
    }
    for pattern in patterns().iter().filter(|found| found.name.starts_with(&options.pattern)) {
        if pattern.accounts > 0 {
            print_accounts(pattern);
        }
    }
}

/// Prints the served share of each account during the disturbance, summed over the seeds.
fn print_accounts(pattern: &Pattern) {
    let sums_with = |policy| -> Vec<AccountResults> {
        let runs: Vec<Results> = (0..SEEDS).map(|seed| replay(pattern, policy, seed)).collect();
        let sum = |account: usize| runs.iter().map(|run| run.by_account[account]).sum();
        (0..pattern.accounts).map(sum).collect()
    };
    let (fair, arrival) = (sums_with(Policy::Placer), sums_with(Policy::ArrivalOrder));
    println!();
    println!(
        "| {}: account | Requests | Served, {} | In time, {} | Served, {} | In time, {} |",
        pattern.name,
        Policy::Placer,
        Policy::Placer,
        Policy::ArrivalOrder,
        Policy::ArrivalOrder
    );
    println!("|---|---|---|---|---|---|");
    let print = |name: &str, fair: AccountResults, arrival: AccountResults| {
        println!(
            "| {name} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            fair.requests,
            100.0 * fair.served_share(),
            100.0 * fair.in_time_share(),
            100.0 * arrival.served_share(),
            100.0 * arrival.in_time_share()
        );
    };
    for (index, (fair, arrival)) in fair.iter().zip(&arrival).enumerate() {
        print(&(index + 1).to_string(), *fair, *arrival);
    }
    let sum = |results: &[AccountResults]| results.iter().copied().sum();
    print("all but 1", sum(&fair[1..]), sum(&arrival[1..]));
    print("all", sum(&fair), sum(&arrival));
}
