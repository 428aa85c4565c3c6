//! `lentilspoke load`: puts load on proxies and checks the answers that callers get.

use crate::clock::Span;
use crate::cmd::{Error, parse, value};
use crate::load::{self, Mix, Plan};
use crate::types::GroupId;
use std::str::FromStr;

const USAGE: &str = "\
Put load on proxies, and check what callers are told against what they read back.

Usage: lentilspoke load [options] ADDRESS...

Each caller is a named session that writes and reads rows of its own in the table
`ledger`, and roams between the addresses. Exits with 1 if a write was lost or
doubled, a read was stale, or a write told \"not run\" had run.

Options:
    --callers N           callers [20]
    --duration SPAN       how long [10s]
    --rate N              operations a second of all callers together; without it
                          each caller starts the next when one has ended
    --mix W/S/A           percent of writes, session reads and aged reads [20/30/50]
    --max-age SPAN        the age that aged reads accept [5s]
    --roam PERCENT        how often a caller moves to another address [10]
    --groups A,B,...      the groups [ledger1,ledger2,ledger3]
    --admin A,B,...       the proxies' admin addresses, to count reads by replicas
    --timeout SPAN        when a caller gives up on an answer [10s]
    --seed N              draws the operations [1]
    --json                print the report as JSON
    -h, --help            print this text
";

struct Args {
    plan: Plan,
    duration: Span,
    json: bool,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        let valued = [
            "callers", "duration", "rate", "mix", "max-age", "roam", "groups", "admin", "timeout",
            "seed",
        ];
        for name in valued {
            options.optopt("", name, "", "VALUE");
        }
        options.optflag("", "json", "");
        let matches = parse(&mut options, USAGE, arguments)?;
        let plan = Plan {
            addresses: list(&matches.free.join(","), "ADDRESS")?,
            admins: list(&matches.opt_str("admin").unwrap_or_default(), "--admin")?,
            groups: groups(&matches)?,
            callers: value(&matches, "callers")?.unwrap_or(20),
            mix: value(&matches, "mix")?.unwrap_or_default(),
            max_age: value(&matches, "max-age")?.unwrap_or(Span::from_secs(5)),
            roam: value(&matches, "roam")?.unwrap_or(10),
            rate: value(&matches, "rate")?,
            seed: value(&matches, "seed")?.unwrap_or(1),
            timeout: value(&matches, "timeout")?.unwrap_or(Span::from_secs(10)),
        };
        check(&plan)?;
        Ok(Self {
            plan,
            duration: value(&matches, "duration")?.unwrap_or(Span::from_secs(10)),
            json: matches.opt_present("json"),
        })
    }
}

fn groups(matches: &getopts::Matches) -> Result<Vec<GroupId>, Error> {
    let named = matches.opt_str("groups");
    list(
        named.as_deref().unwrap_or("ledger1,ledger2,ledger3"),
        "--groups",
    )
}

fn list<T>(text: &str, name: &str) -> Result<Vec<T>, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts
        .map(|part| {
            part.parse()
                .map_err(|error| Error::usage(format!("{name} `{part}`: {error}")))
        })
        .collect()
}

fn check(plan: &Plan) -> Result<(), Error> {
    if plan.addresses.is_empty() {
        return Err(Error::usage("ADDRESS is missing: write a proxy's IP:PORT"));
    }
    if plan.groups.is_empty() {
        return Err(Error::usage("--groups names none: leave it out for all"));
    }
    if plan.callers == 0 {
        return Err(Error::usage("--callers 0: there is nobody to put load on"));
    }
    if plan
        .rate
        .is_some_and(|rate| !rate.is_finite() || rate <= 0.0)
    {
        return Err(Error::usage("--rate has to be above zero"));
    }
    Ok(())
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            writes: 20,
            session_reads: 30,
            aged_reads: 50,
        }
    }
}

/// The text is not three percentages that sum to 100.
#[derive(Debug, thiserror::Error)]
#[error("write three percentages that make 100, such as 20/30/50")]
pub struct InvalidMix;

impl FromStr for Mix {
    type Err = InvalidMix;

    fn from_str(text: &str) -> Result<Self, InvalidMix> {
        let shares: Result<Vec<u8>, _> = text.split('/').map(str::parse).collect();
        match shares.map_err(|_| InvalidMix)?.as_slice() {
            &[writes, session_reads, aged_reads]
                if u32::from(writes) + u32::from(session_reads) + u32::from(aged_reads) == 100 =>
            {
                Ok(Self {
                    writes,
                    session_reads,
                    aged_reads,
                })
            }
            _ => Err(InvalidMix),
        }
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let progress = |line: &str| eprintln!("{line}");
    let report = actix_rt::System::new().block_on(async {
        let end = tokio::time::sleep(args.duration.into());
        load::run(&args.plan, end, progress).await
    });
    if args.json {
        println!("{}", serde_json::to_string(&report).map_err(Error::failed)?);
    } else {
        println!("{report}");
    }
    if report.is_clean() {
        Ok(())
    } else {
        Err(Error::failed(
            "callers were told something that is not so: see the last line of the report",
        ))
    }
}
