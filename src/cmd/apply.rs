//! `lentilspoke apply`: applies a configuration file, whole or not at all.

use crate::cmd::check::read;
use crate::cmd::{Error, parse, single, value};
use crate::net::platform::Client;
use crate::net::platform::apply::{self, Outrun, Proposal, RETRY_TIMEOUT, Verdict};
use crate::types::{ApplyId, Version};
use std::net::SocketAddr;
use tokio::time::Instant;

const USAGE: &str = "\
Put a configuration file in force, whole or not at all.

Usage: lentilspoke apply FILE --proxy ADDRESS [--base VERSION]
       lentilspoke apply FILE --platform ADDRESS [--base VERSION]

The file is accepted if the version it was based on is still the one in force: the
`base` in the file, as `lentilspoke show` prints it, or --base. Otherwise nothing is
changed, and the version that won is shown with what it changed.

Options:
    --proxy ADDRESS       a proxy's `admin` address; what it accepts stays in force
                          also when the platform fails right after
    --platform ADDRESS    the platform's own address, for the first document
    --base VERSION        the version that the file was based on; 0 for the first
    -h, --help            print this text
";

/// The process that receives an operator's command.
pub(super) enum Target {
    /// A proxy's admin address.
    Proxy(SocketAddr),
    /// The platform's address.
    Platform(SocketAddr),
}

impl Target {
    /// Adds the options that [`Target::parse`] reads.
    pub(super) fn options() -> getopts::Options {
        let mut options = getopts::Options::new();
        options.optopt("", "proxy", "", "ADDRESS");
        options.optopt("", "platform", "", "ADDRESS");
        options
    }

    /// Reads `--proxy` or `--platform`.
    pub(super) fn parse(matches: &getopts::Matches) -> Result<Self, Error> {
        match (value(matches, "proxy")?, value(matches, "platform")?) {
            (Some(address), None) => Ok(Self::Proxy(address)),
            (None, Some(address)) => Ok(Self::Platform(address)),
            _ => Err(Error::usage("give one of --proxy and --platform")),
        }
    }
}

struct Args {
    file: Box<str>,
    target: Target,
    base: Option<Version>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Target::options();
        options.optopt("", "base", "", "VERSION");
        let matches = parse(&mut options, USAGE, arguments)?;
        Ok(Self {
            file: single(&matches, "FILE")?,
            target: Target::parse(&matches)?,
            base: value(&matches, "base")?,
        })
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let file = read(&args.file)?;
    let base = match (args.base, file.base) {
        (Some(from_option), Some(from_file)) if from_option != from_file => {
            return Err(Error::usage(format!(
                "--base {from_option} clashes with `base` {from_file} in {}: leave one out",
                args.file
            )));
        }
        (from_option, from_file) => from_option.or(from_file),
    };
    let base = base.ok_or_else(|| {
        Error::usage("the version that the file was based on is missing: see `lentilspoke show`, and give --base VERSION, 0 for the first document")
    })?;
    let proposal = Proposal {
        id: ApplyId(rand::random()),
        base,
        document: file.into_document(),
    };
    let verdict = actix_rt::System::new().block_on(propose(&args.target, &proposal))?;
    report(&verdict, base)
}

async fn propose(target: &Target, proposal: &Proposal) -> Result<Verdict, Error> {
    match *target {
        Target::Proxy(address) => apply::propose(address, proposal)
            .await
            .map_err(Error::failed),
        Target::Platform(address) => {
            let deadline = Instant::now() + RETRY_TIMEOUT.into();
            Ok(apply::settle(&Client::new([address]), proposal, deadline).await)
        }
    }
}

fn report(verdict: &Verdict, base: Version) -> Result<(), Error> {
    match verdict {
        Verdict::Accepted(version) => {
            println!("accepted: version {version} is in force");
            Ok(())
        }
        Verdict::Outrun(outrun) => Err(Error::failed(describe_outrun(outrun, base))),
        Verdict::Refused(fault) => Err(Error::failed(format!("not applied: {fault}"))),
        Verdict::NotApplied(cause) => Err(Error::failed(format!("not applied: {cause}"))),
        Verdict::Unsettled => Err(Error::failed(
            "it is not known whether the file was applied: ask with `lentilspoke show`, and apply \
             it again if it is not in force",
        )),
    }
}

fn describe_outrun(outrun: &Outrun, base: Version) -> String {
    let mut text = format!(
        "not applied: version {} is in force, and the file was based on {base}; take these \
         changes in and apply it with base {}",
        outrun.version, outrun.version
    );
    if outrun.changes.is_empty() {
        text.push_str("\n  (see `lentilspoke show`)");
    }
    for change in &outrun.changes {
        text.push_str("\n  ");
        text.push_str(change);
    }
    text
}
