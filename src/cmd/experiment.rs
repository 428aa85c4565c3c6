//! `lentilspoke experiment`: measures what callers get under patterns of load, compared with naive rules.

use crate::clock::Span;
use crate::experiment::aim::{Findings, Setting};
use crate::experiment::deployment::{Deployment, Unknown};
use crate::experiment::overload::load::Load;
use crate::experiment::overload::{self, plot};
use crate::experiment::pattern::Pattern;
use crate::experiment::policy::Rule;
use getopts::Options;
use std::io::{self, Write};
use std::path::PathBuf;

const USAGE: &str = "
Plays patterns of load on virtual time against the proxy's own decisions and against naive rules
(first come first served, no limit but the connections, round robin, stickiness by time), and
checks what callers get against stated aims. The same seed gives the same figures. Patterns of
overload play organisations with allowances on direct access, also against the former decisions.

Usage:
    lentilspoke experiment [options] [PATTERN...]

Patterns (default: all of this line):
    calm, burst, greedy, slow, long, saturation, domain
Patterns of overload:
    flood, class-burst, slowdown, uneven, return, leave

Options:
    --deployment NAME   association or permits (default: both)
    --seed NUMBER       what the draws start from (default: 1)
    --length SPAN       how long requests are counted, such as 20s (default: 20s)
    --without RULE      leave one rule out, may be given again: bounded, short, fair, reserve,
                        adaptive, informed, ramped, spills, spare or budget
    --json              print JSON in place of tables
    --plot DIRECTORY    write an SVG into DIRECTORY for each pattern of overload
    -h, --help          print this

Exit code: 0 all aims met, 1 an aim missed, 2 wrong usage.
";

const DEFAULT_SEED: u64 = 1;
const DEFAULT_LENGTH: Span = Span::from_secs(20);

/// Why the command did not complete.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}: see `lentilspoke experiment --help`")]
    Usage(Box<str>),
    /// The output could not be written.
    #[error("the output could not be written: {0}")]
    Output(#[from] io::Error),
    /// A plot could not be written.
    #[error(transparent)]
    Plot(#[from] plot::Error),
}

/// The parsed command line.
#[derive(Debug)]
struct Args {
    help: bool,
    json: bool,
    deployments: Vec<Deployment>,
    patterns: Vec<Pattern>,
    loads: Vec<Load>,
    plot: Option<PathBuf>,
    seed: u64,
    length: Span,
    without: Vec<Rule>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "deployment", "", "NAME");
        options.optopt("", "seed", "", "NUMBER");
        options.optopt("", "length", "", "SPAN");
        options.optmulti("", "without", "", "RULE");
        options.optopt("", "plot", "", "DIRECTORY");
        options.optflag("", "json", "");
        options.optflag("h", "help", "");
        let matches = options.parse(arguments).map_err(usage)?;
        let (mut patterns, mut loads) = (Vec::new(), Vec::new());
        for name in &matches.free {
            match name.parse() {
                Ok(load) => loads.push(load),
                Err(other) => patterns.push(name.parse().map_err(|known| either(known, other))?),
            }
        }
        if matches.free.is_empty() {
            patterns = Pattern::ALL.to_vec();
        }
        let mut without = Vec::new();
        for name in matches.opt_strs("without") {
            without.push(name.parse().map_err(usage)?);
        }
        let deployments = match matches.opt_str("deployment") {
            Some(name) => vec![name.parse().map_err(usage)?],
            None => Deployment::ALL.to_vec(),
        };
        Ok(Self {
            help: matches.opt_present("help"),
            json: matches.opt_present("json"),
            deployments,
            patterns,
            loads,
            plot: matches.opt_str("plot").map(PathBuf::from),
            without,
            seed: matches
                .opt_get_default("seed", DEFAULT_SEED)
                .map_err(usage)?,
            length: matches
                .opt_get_default("length", DEFAULT_LENGTH)
                .map_err(usage)?,
        })
    }
}

/// The error for a name that is neither a pattern nor a pattern of overload.
fn either(known: Unknown, other: Unknown) -> Error {
    usage(format!("{known}, {}", other.known))
}

fn usage(problem: impl ToString) -> Error {
    Error::Usage(problem.to_string().into())
}

/// Runs the subcommand; returns whether all aims were met.
pub fn run(arguments: &[String], output: &mut impl Write) -> Result<bool, Error> {
    let args = Args::parse(arguments)?;
    if args.help {
        output.write_all(USAGE.trim_start().as_bytes())?;
        return Ok(true);
    }
    let mut findings = Findings::default();
    for &deployment in &args.deployments {
        let setting = Setting {
            deployment,
            seed: args.seed,
            length: args.length,
            without: args.without.clone(),
        };
        for &pattern in &args.patterns {
            findings.extend(setting.findings(pattern));
        }
    }
    let setting = overload::aim::Setting {
        seed: args.seed,
        length: args.length,
    };
    for &load in &args.loads {
        findings.extend(setting.findings(load));
        if let Some(directory) = &args.plot {
            plot::write(directory, load, &findings.overload)?;
        }
    }
    if args.json {
        let text = serde_json::to_string_pretty(&findings).map_err(io::Error::from)?;
        writeln!(output, "{text}")?;
    } else {
        print(&findings, output)?;
    }
    Ok(findings.met())
}

fn print(findings: &Findings, output: &mut impl Write) -> io::Result<()> {
    for report in &findings.reports {
        writeln!(output, "{report}")?;
    }
    for report in &findings.overload {
        writeln!(output, "{report}")?;
    }
    for verdict in &findings.verdicts {
        writeln!(output, "{verdict}")?;
    }
    Ok(())
}
