//! `lentilspoke model`: exhaustive search of the core protocol's states.

use crate::cmd::{Error, parse, value};
use crate::model::suite::{self, Case};
use std::time::Instant;

const USAGE: &str = "\
Search all states of the core protocol's specifications, breadth first, for a broken
property. Then take out one safeguard at a time; each such search has to find how a
property breaks, and prints the shortest way to it.

Usage: lentilspoke model [--depth N] [--sound] [--only TEXT]

Options:
    --depth N     the most events from the start; by default a bound for each search
                  that fits a continuous integration run
    --sound       only search the protocol as it stands
    --only TEXT   only the searches whose names begin with this, such as vouch
    -h, --help    print this text
";

struct Args {
    depth: Option<usize>,
    sound: bool,
    only: Box<str>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "depth", "", "N");
        options.optflag("", "sound", "");
        options.optopt("", "only", "", "TEXT");
        let matches = parse(&mut options, USAGE, arguments)?;
        Ok(Self {
            depth: value(&matches, "depth")?,
            sound: matches.opt_present("sound"),
            only: matches.opt_str("only").unwrap_or_default().into(),
        })
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let is_selected = |case: &Case| case.name.starts_with(&*args.only);
    let mut unexpected = 0;
    for case in suite::sound()
        .map_err(Error::failed)?
        .into_iter()
        .filter(is_selected)
    {
        unexpected += u32::from(search(&case, args.depth));
    }
    for case in suite::reachable()
        .map_err(Error::failed)?
        .into_iter()
        .filter(is_selected)
    {
        unexpected += u32::from(!search(&case, None));
    }
    if !args.sound {
        for case in suite::unsound()
            .map_err(Error::failed)?
            .into_iter()
            .filter(is_selected)
        {
            unexpected += u32::from(!search(&case, None));
        }
    }
    match unexpected {
        0 => Ok(()),
        _ => Err(Error::failed(format!(
            "{unexpected} searches ended wrongly"
        ))),
    }
}

/// Searches one case, prints the result and returns whether a property broke.
fn search(case: &Case, depth: Option<usize>) -> bool {
    let started = Instant::now();
    let report = case.search(depth.unwrap_or(case.bound));
    let outcome = match (&report.trace, report.complete) {
        (Some(_), _) => "BROKEN",
        (None, true) => "complete",
        (None, false) => "to this depth",
    };
    println!(
        "{}: {} states, depth {}, {outcome}, {:.1} s",
        case.name,
        report.states,
        report.depth,
        started.elapsed().as_secs_f64()
    );
    if let Some(trace) = &report.trace {
        println!("{trace}\n");
    }
    report.trace.is_some()
}
