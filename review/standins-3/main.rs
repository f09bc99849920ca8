//! Plays the scripted cases of the review: `standins CASE RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

#![allow(dead_code, reason = "each case uses only some of what the stand-ins offer")]

mod foreign_drain;
mod foreign_outage;
mod http;
mod json;
mod key_passed_on;
mod old_start;
mod platform;
mod proxy;
mod store;

use platform::{CannotRun, Record};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Record::create(Path::new(path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(if has_trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "foreign-drain" => foreign_drain::play(&record, has_trouble),
        "foreign-outage" => foreign_outage::play(&record, has_trouble),
        "key-passed-on" => key_passed_on::play(&record, has_trouble),
        "old-start" => old_start::play(&record, has_trouble),
        other => Err(CannotRun(format!("no case '{other}'"))),
    };
    match outcome {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(CannotRun(reason)) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
