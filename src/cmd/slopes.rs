//! `lentilspoke slopes`: measures what control messages, statements and state cost.

mod callers;
mod control;
mod path;
mod streams;

use crate::cmd::Error;

const USAGE: &str = "\
Measure what a proxy costs, as a basis for capacity plans.

Usage: lentilspoke slopes MEASUREMENT [options]

Measurements:
    control    messages, bytes and processor time of control, on a virtual clock
    path       what a statement through a proxy takes beside a direct one
    callers    memory per connection, session, VM, group and database
    streams    memory per stream between proxies

`lentilspoke slopes MEASUREMENT --help` tells more about each.
";

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let Some((measurement, rest)) = arguments.split_first() else {
        return Err(Error::Usage(USAGE.into()));
    };
    match measurement.as_str() {
        "control" => control::run(rest),
        "path" => path::run(rest),
        "callers" => callers::run(rest),
        "streams" => streams::run(rest),
        "-h" | "--help" => Err(Error::Help(USAGE)),
        other => Err(Error::usage(format!(
            "no measurement `{other}`: write control, path, callers or streams"
        ))),
    }
}
