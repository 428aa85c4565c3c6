//! `lentilspoke soak`: plays one long simulation in which faults of all kinds begin and end.

use crate::clock::Span;
use crate::cmd::{Error, parse, value};
use crate::soak::kind::{CONNECTIONS, KINDS};
use crate::soak::profile::{NAMED, Profile};
use crate::soak::{Plan, play};
use crate::standin::direct::host;
use crate::util;

const USAGE: &str = "\
Play one long-lived world of direct access on virtual time, in the shape of a grown
deployment, while troubles of all kinds come and go, and judge what callers are told.

Usage: lentilspoke soak [OPTIONS] [PROFILE]

PROFILE is association (the default), permits, or a file of JSON with comments.

Options:
    --length SPAN     how long troubles are played; 30m by default
    --seed NUMBER     from which all is drawn; 1 by default
    --calm SPAN       how long calms between troubles last on average; 20s by default
    --kinds NAMES     the kinds of trouble, with commas between; all by default
    --vms NUMBER      VMs, in place of the profile's
    --groups NUMBER   groups, in place of the profile's
    --callers NUMBER  callers, in place of the profile's
    --rate NUMBER     statements a second of all callers, in place of the profile's
    --json            print the report as JSON
    --list            print the kinds of trouble
    -h, --help        print this text
";

struct Args {
    plan: Plan,
    json: bool,
    list: bool,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        for name in [
            "length", "seed", "calm", "kinds", "vms", "groups", "callers", "rate",
        ] {
            options.optopt("", name, "", "");
        }
        options.optflag("", "json", "");
        options.optflag("", "list", "");
        let matches = parse(&mut options, USAGE, arguments)?;
        let name = match matches.free.as_slice() {
            [] => NAMED[0].0,
            [name] => name,
            [_, extra, ..] => return Err(Error::usage(format!("`{extra}` is one word too many"))),
        };
        let mut profile = read(name)?;
        profile.vms = value(&matches, "vms")?.unwrap_or(profile.vms);
        profile.groups = value(&matches, "groups")?.unwrap_or(profile.groups);
        profile.callers = value(&matches, "callers")?.unwrap_or(profile.callers);
        profile.rate = value(&matches, "rate")?.unwrap_or(profile.rate);
        profile.check().map_err(|fault| {
            let text = fault.to_string();
            Error::usage(format!("{name}: {text}"))
        })?;
        let plan = Plan {
            name: name.into(),
            profile,
            kinds: kinds(matches.opt_str("kinds"))?,
            calm: value(&matches, "calm")?.unwrap_or(Span::from_secs(20)),
            length: value(&matches, "length")?.unwrap_or(Span::from_secs(1_800)),
            seed: value(&matches, "seed")?.unwrap_or(1),
        };
        Ok(Self {
            plan,
            json: matches.opt_present("json"),
            list: matches.opt_present("list"),
        })
    }
}

fn read(name: &str) -> Result<Profile, Error> {
    let profile = match Profile::named(name) {
        Some(profile) => profile,
        None => {
            let text = std::fs::read_to_string(name).map_err(|error| {
                Error::usage(format!(
                    "{name}: {error}: name association, permits or a file"
                ))
            })?;
            Profile::read(&text)
        }
    };
    profile.map_err(|error| Error::usage(format!("{name}:{error}")))
}

/// All kinds of faults.
fn all_kinds() -> impl Iterator<Item = &'static str> {
    KINDS.into_iter().chain(CONNECTIONS)
}

fn kinds(names: Option<String>) -> Result<Vec<Box<str>>, Error> {
    let Some(names) = names else {
        return Ok(all_kinds().map(Box::from).collect());
    };
    let check = |name: &str| match all_kinds().any(|kind| kind == name) {
        true => Ok(name.into()),
        false => Err(Error::usage(format!(
            "--kinds {name}: no such kind: see lentilspoke soak --list"
        ))),
    };
    names.split(',').map(check).collect()
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    if args.list {
        all_kinds().for_each(|kind| println!("{kind}"));
        return Ok(());
    }
    util::log_after(log::LevelFilter::Off, host::log_prefix);
    let report = play(args.plan).map_err(Error::failed)?;
    match args.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).map_err(Error::failed)?
        ),
        false => print!("{report}"),
    }
    match report.count {
        0 => Ok(()),
        count => Err(Error::failed(format!("{count} properties were broken"))),
    }
}
