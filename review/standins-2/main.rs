//! The cases of the second review that are scripts: `standins-2 CASE FOLDER`. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod case_born;
mod case_flood;
mod case_pipeline;
mod daemon;
mod http;
mod instance;
mod json;
mod record;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        println!("standins-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new();
    record.say(format!("case {case}, trouble {trouble}"));
    let code = match case.as_str() {
        "narrow-path" => case_pipeline::run(&record, trouble, case_pipeline::NARROW),
        "crossing" => case_pipeline::run(&record, trouble, case_pipeline::WIDE),
        "burst" => case_pipeline::run(&record, trouble, case_pipeline::BURST),
        "flood" => case_flood::run(&record, trouble),
        "born" => case_born::run(&record, trouble),
        _ => 2,
    };
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    record.write(&PathBuf::from(folder).join("record.txt"));
    exit(code);
}
