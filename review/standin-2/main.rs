//! Stand-ins and scenarios of the second review. `main SCENARIO RECORD` plays a scenario from the
//! root of the repository and exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! scenario could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod copies;
mod entry;
mod fraction;
mod freeze;
mod http;
mod leaf;
mod record;
mod store;
mod stray;
mod template;
mod weights;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// How a scenario ended.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = args.as_slice() else {
        eprintln!("usage: main SCENARIO RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::open(Path::new(path)));
    let outcome = match scenario.as_str() {
        "fraction" => fraction::run(trouble, &record),
        "freeze" => freeze::run(trouble, &record),
        "copies" => copies::run(trouble, &record),
        "weights" => weights::run(trouble, &record),
        "stray" => stray::run(trouble, &record),
        _ => Outcome::CannotRun(format!("no scenario {scenario}")),
    };
    match outcome {
        Outcome::Held => {
            record.say("the rule held");
            exit(0);
        }
        Outcome::Broken => {
            record.say("the rule is broken");
            exit(1);
        }
        Outcome::CannotRun(why) => {
            record.say(&format!("the case could not run: {why}"));
            exit(2);
        }
    }
}
