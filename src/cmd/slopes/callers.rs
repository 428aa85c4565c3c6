//! `lentilspoke slopes callers`: memory used by connections and state.

use crate::clock::Span;
use crate::cmd::{Error, parse, value};
use crate::slopes::callers::{self, Plan, show};
use crate::slopes::state;
use crate::types::Invalid;
use getopts::Options;

const USAGE: &str = "\
Measure resident memory of this process: for each idle caller of a proxy, before and
after one statement (with the callers' ends, bare sockets of the same process); and of
a core alone for each session that wrote, VM, and group of three databases. The spread
of readings is the noise.

Usage: lentilspoke slopes callers [options]

Options:
    --connections N,...    callers' connections [500,1000,2000,4000]
    --sessions N,...       sessions, over 8 groups [10000,20000,40000,80000]
    --vms N,...            VMs [1000,2000,4000,8000]
    --groups N,...         groups [400,800,1600,3200]
    --settle SPAN          wait before memory is read [1s]
    -h, --help             print this text
";

/// Runs the subcommand.
pub(super) fn run(arguments: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    for (name, hint) in [
        ("connections", "N,..."),
        ("sessions", "N,..."),
        ("vms", "N,..."),
        ("groups", "N,..."),
        ("settle", "SPAN"),
    ] {
        options.optopt("", name, "", hint);
    }
    let matches = parse(&mut options, USAGE, arguments)?;
    let counts = |name: &str, standard: &[usize]| match matches.opt_str(name) {
        Some(text) => list(name, &text),
        None => Ok(standard.to_vec()),
    };
    let plan = Plan {
        counts: counts("connections", &[500, 1_000, 2_000, 4_000])?,
        settle: value(&matches, "settle")?.unwrap_or(Span::from_secs(1)),
    };
    let sessions = counts("sessions", &[10_000, 20_000, 40_000, 80_000])?;
    let vms = counts("vms", &[1_000, 2_000, 4_000, 8_000])?;
    let groups = counts("groups", &[400, 800, 1_600, 3_200])?;
    crate::util::log(log::LevelFilter::Warn);
    let print = |row| println!("{row}");
    let mut state = Ok(());
    let measure_state = || state = measure_cores(&sessions, &vms, &groups);
    let measured = actix_rt::System::new().block_on(callers::run(&plan, print, measure_state));
    measured.map_err(Error::failed)?;
    state.map_err(Error::failed)
}

/// Measures cores without connections, and keeps each one in memory until all are measured.
fn measure_cores(sessions: &[usize], vms: &[usize], groups: &[usize]) -> Result<(), Invalid> {
    let print = |row| println!("{row}");
    let sessions = state::sessions(sessions)?;
    show("sessions", &sessions.levels, &print);
    println!("writes answered     | {}", sessions.done);
    let vms = state::vms(vms)?;
    show("VMs", &vms.levels, &print);
    let groups = state::groups(groups)?;
    show("groups", &groups.levels, &print);
    Ok(())
}

fn list(name: &str, text: &str) -> Result<Vec<usize>, Error> {
    let invalid = |_| Error::usage(format!("--{name} {text}: write numbers, such as 10,20"));
    text.split(',')
        .map(|word| word.parse().map_err(invalid))
        .collect()
}
