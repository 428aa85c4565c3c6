//! The entry point of the command line, which dispatches to a subcommand.

#[path = "../platform/mod.rs"]
mod platform;

use lentilspoke::cmd::{self, Error};
use std::process::ExitCode;

const USAGE: &str = "\
A database proxy with session consistency, for groups of lagging replicas.

Usage: lentilspoke COMMAND [ARGUMENTS]

Commands:
    serve       run one proxy
    check       check a configuration file
    apply       put a configuration file in force
    show        print the configuration in force
    load        put load on proxies, and check what callers are told
    explain     print one request's story out of the logs
    dump        print a process's state
    demo        run stand-in databases and proxies in one process
    slopes      measure what control, statements and state cost
    experiment  play patterns of load against the decisions
    model       search the core protocol's states
    schedules   play random faults and check what callers are told
    soak        play all kinds of trouble in one long-lived world

`lentilspoke COMMAND --help` tells more about each.
";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match dispatch(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Help(usage)) => {
            print!("{usage}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lentilspoke: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn dispatch(arguments: &[String]) -> Result<(), Error> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(Error::usage("no command: see lentilspoke --help"));
    };
    match command.as_str() {
        "demo" => cmd::demo::run(rest),
        "check" => cmd::check::run(rest),
        "apply" => cmd::apply::run(rest),
        "show" => cmd::show::run(rest),
        "load" => cmd::load::run(rest),
        "explain" => cmd::explain::run(rest, &mut std::io::stdout()),
        "dump" => cmd::dump::run(rest),
        "model" => cmd::model::run(rest),
        "schedules" => cmd::schedules::run(rest),
        "serve" => cmd::serve::run(rest, platform::SETTINGS_VARIABLE, platform::adapter),
        "slopes" => cmd::slopes::run(rest),
        "soak" => cmd::soak::run(rest),
        "experiment" => experiment(rest),
        "-h" | "--help" | "help" => Err(Error::Help(USAGE)),
        "-V" | "--version" => {
            println!("lentilspoke {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        other => Err(Error::usage(format!(
            "no command `{other}`: see lentilspoke --help"
        ))),
    }
}

fn experiment(arguments: &[String]) -> Result<(), Error> {
    match cmd::experiment::run(arguments, &mut std::io::stdout()) {
        Ok(true) => Ok(()),
        Ok(false) => Err(Error::failed("an aim was missed")),
        Err(error @ cmd::experiment::Error::Usage(_)) => Err(Error::usage(error)),
        Err(error) => Err(Error::failed(error)),
    }
}
