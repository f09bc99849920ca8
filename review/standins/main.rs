//! The cases of the review that are scripts. `standins CASE FOLDER` plays one and writes
//! `record.txt` into its folder. `TROUBLE=0` leaves the disruption out.

mod case_additional_answer;
mod case_late_beat;
mod case_memory;
mod case_roll;
mod case_stop;
mod daemon;
mod http;
mod instance;
mod path;
mod record;
mod site;
mod store;

use std::path::Path;
use std::thread;
use std::time::Duration;

/// The longest that a case may take.
const CASE_S_MAX: u64 = 115;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(CASE_S_MAX));
        eprintln!("the case took too long");
        daemon::exit(2);
    });
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        daemon::exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    match case.as_str() {
        "additional-answer" => case_additional_answer::run(folder, has_trouble),
        "late-beat" => case_late_beat::run(folder, has_trouble),
        "memory" => case_memory::run(folder, has_trouble),
        "stop" => case_stop::run(folder, has_trouble),
        "roll" => case_roll::run(folder, has_trouble),
        _ => {
            eprintln!("there is no case {case}");
            std::process::exit(2);
        }
    }
}
