//! `lentilspoke schedules`: plays random faults against simulated systems, one schedule for each seed.

use crate::cmd::{Error, parse, value};
use crate::schedule;
use crate::standin::direct::host;
use crate::util;
use std::time::Instant;

const USAGE: &str = "\
Play random schedules of callers and faults on virtual time, one a seed, and check
what callers were told against what is left. A failing seed is printed with its
script, which can be kept as a scenario.

Usage: lentilspoke schedules [--direct [--crowded] [--reborn] [--fleet] [--drill] [--durable] [--resets] [--pressed]] [--seeds FIRST..LAST] [--script]

Options:
    --direct               play whole worlds of direct access; RUST_LOG shows what VMs log
    --crowded              with more VMs than have connections of their own
    --reborn               databases that crash start again with nothing of before
    --fleet                with 18 VMs more, a few of which read the store for all
    --drill                a store that would be down comes back from an older copy instead
    --durable              commits wait until a replica has received them
    --resets               partitions end connections and refuse new ones, and often split a primary's VMs
    --pressed              organisations have allowances, and one sends many times its own for a while
    --seeds FIRST..LAST    the seeds to play, both included; 1..100 by default
    --script               print the script of each seed
    -h, --help             print this text
";

const DEFAULT_SEEDS: &str = "1..100";

struct Args {
    seeds: std::ops::RangeInclusive<u64>,
    script: bool,
    direct: bool,
    variant: schedule::direct::Variant,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "seeds", "", "FIRST..LAST");
        options.optflag("", "script", "");
        options.optflag("", "direct", "");
        options.optflag("", "crowded", "");
        options.optflag("", "reborn", "");
        options.optflag("", "fleet", "");
        options.optflag("", "drill", "");
        options.optflag("", "durable", "");
        options.optflag("", "resets", "");
        options.optflag("", "pressed", "");
        let matches = parse(&mut options, USAGE, arguments)?;
        let text: Option<String> = value(&matches, "seeds")?;
        let text = text.unwrap_or_else(|| DEFAULT_SEEDS.into());
        let invalid_range = || {
            Error::usage(format!(
                "--seeds {text}: write FIRST..LAST, such as 1..5000"
            ))
        };
        let (first, last) = text.split_once("..").ok_or_else(invalid_range)?;
        let first = first.parse().map_err(|_| invalid_range())?;
        let last = last.parse().map_err(|_| invalid_range())?;
        Ok(Self {
            seeds: first..=last,
            script: matches.opt_present("script"),
            direct: matches.opt_present("direct"),
            variant: schedule::direct::Variant {
                crowded: matches.opt_present("crowded"),
                reborn: matches.opt_present("reborn"),
                fleet: matches.opt_present("fleet"),
                drill: matches.opt_present("drill"),
                durable: matches.opt_present("durable"),
                resets: matches.opt_present("resets"),
                pressed: matches.opt_present("pressed"),
            },
        })
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    if args.direct {
        return direct(args);
    }
    let started = Instant::now();
    let (mut played, mut failed, mut outcomes) = (0, 0, schedule::Outcomes::default());
    for seed in args.seeds {
        let report = schedule::play(seed).map_err(Error::failed)?;
        played += 1;
        outcomes.done += report.outcomes.done;
        outcomes.not_run += report.outcomes.not_run;
        outcomes.unknown += report.outcomes.unknown;
        let fails = !report.broken.is_empty();
        failed += u64::from(fails);
        if fails || args.script {
            show(&report, &report.script);
        }
    }
    let schedule::Outcomes {
        done,
        not_run,
        unknown,
    } = outcomes;
    println!(
        "{played} seeds, {failed} failed; requests: {done} done, {not_run} not run, \
         {unknown} unknown; {:.1} s",
        started.elapsed().as_secs_f64()
    );
    verdict(failed)
}

/// Plays schedules against simulated deployments with direct access.
fn direct(args: Args) -> Result<(), Error> {
    util::log_after(log::LevelFilter::Off, host::log_prefix);
    let started = Instant::now();
    let (mut played, mut failed, mut done) = (0, 0, 0);
    for seed in args.seeds {
        let report = schedule::direct::play(seed, args.variant).map_err(Error::failed)?;
        played += 1;
        done += report.outcomes.done;
        let fails = !report.broken.is_empty();
        failed += u64::from(fails);
        if fails || args.script {
            show(&report, &report.script);
        }
    }
    println!(
        "{played} seeds, {failed} failed; statements: {done} done; {:.1} s",
        started.elapsed().as_secs_f64()
    );
    verdict(failed)
}

/// Prints a seed's report and its script.
fn show(report: &impl std::fmt::Display, script: &[Box<str>]) {
    println!("{report}");
    for line in script {
        println!("    {line}");
    }
}

fn verdict(failed: u64) -> Result<(), Error> {
    match failed {
        0 => Ok(()),
        _ => Err(Error::failed(format!("{failed} seeds broke a property"))),
    }
}
