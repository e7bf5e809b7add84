//! Stand-ins of the users' store, leafs and clients, and the checks of the review's scripts.
//!
//! Called as `standin CASE FOLDER`; the variable `TROUBLE=0` leaves the disruption out. Exit status
//! 0: the rule held, 1: it was broken, 2: the case could not run.

mod cold;
mod entry;
mod http;
mod json;
mod leaf;
mod lost;
mod record;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "cold" => cold::play(&folder, trouble),
        "lost" => lost::play(&folder, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
