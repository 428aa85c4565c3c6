//! `lentilspoke slopes path`: time of a statement through a proxy, compared with a direct connection.

use crate::cmd::{Error, parse, value};
use crate::slopes::path::{self, Plan};
use getopts::Options;

const USAGE: &str = "\
Measure what a statement through a proxy takes beside one that goes to the database:
stand-in databases that answer at once, and two proxies, in one process. The first
proxy holds the databases (`local`); the second one sends it what callers ask
(`forwarded`). `direct` goes to the primary's own address. The three take turns,
statement by statement.

Usage: lentilspoke slopes path [options]

Options:
    --statements N    statements of each kind and way, one after another [2000]
    --callers N       callers of the closed loop [32]
    --length SPAN     how long each closed loop lasts [3s]
    -h, --help        print this text
";

/// Runs the subcommand.
pub(super) fn run(arguments: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    options.optopt("", "statements", "", "N");
    options.optopt("", "callers", "", "N");
    options.optopt("", "length", "", "SPAN");
    let matches = parse(&mut options, USAGE, arguments)?;
    let plan = Plan {
        statements: value(&matches, "statements")?.unwrap_or(2_000),
        callers: value(&matches, "callers")?.unwrap_or(32),
        length: value(&matches, "length")?.unwrap_or(crate::clock::Span::from_secs(3)),
    };
    if plan.statements == 0 || plan.callers == 0 {
        return Err(Error::usage("write at least one statement and one caller"));
    }
    crate::util::log(log::LevelFilter::Warn);
    actix_rt::System::new()
        .block_on(path::run(&plan, |row| println!("{row}")))
        .map_err(Error::failed)
}
