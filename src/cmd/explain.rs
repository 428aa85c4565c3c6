//! `lentilspoke explain`: shows what happened to one request, from the logs of many VMs.

use crate::cmd::{Error, parse};
use crate::explain::line::{Reader, seconds};
use crate::explain::{moment, report};
use std::path::Path;

const USAGE: &str = "\
Print what became of one request: its own log lines, on every VM, and the changes of
belief around them, in order. Those are who leads its group, the configuration, the
register of databases, the steward, and the store.

Usage: lentilspoke explain ID FILE...
       lentilspoke explain --vm VM --at SECONDS FILE...

The second form is for a request without a line, as one whose VM was killed: what VM
believed and whom it refused around that moment.

ID is the request's id, as its caller knows it and as `request=` names it. Each FILE
holds the output of one VM, named as the VM is, or lines that start with a time in
seconds and the VM's name. `-` reads standard input.

Options:
    -h, --help    print this text
";

/// What to explain: a request, or a moment on a VM.
enum Subject {
    Request(Box<str>),
    Moment { vm: Box<str>, at_ms: i64 },
}

struct Args {
    subject: Subject,
    files: Vec<Box<str>>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "vm", "", "").optopt("", "at", "", "");
        let matches = parse(&mut options, USAGE, arguments)?;
        let mut arguments = matches
            .free
            .iter()
            .map(|word| Box::<str>::from(word.as_str()));
        let subject = match (matches.opt_str("vm"), matches.opt_str("at")) {
            (None, None) => {
                Subject::Request(arguments.next().ok_or(Error::usage("ID is missing"))?)
            }
            (Some(vm), Some(at)) => Subject::Moment {
                vm: vm.into(),
                at_ms: seconds(&at).ok_or(Error::usage("SECONDS is not a number"))?,
            },
            _ => return Err(Error::usage("--vm and --at go together")),
        };
        let files: Vec<Box<str>> = arguments.collect();
        match files.is_empty() {
            true => Err(Error::usage("FILE is missing: name the logs of all VMs")),
            false => Ok(Self { subject, files }),
        }
    }
}

/// Runs the subcommand, and writes to `out`.
pub fn run(arguments: &[String], out: &mut impl std::io::Write) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let mut reader = Reader::default();
    for file in &args.files {
        let text = read(file).map_err(|error| Error::failed(format!("{file}: {error}")))?;
        let name = Path::new(&**file).file_stem().unwrap_or_default();
        reader.read(&name.to_string_lossy(), &text);
    }
    let lines = reader.lines();
    let id = match &args.subject {
        Subject::Request(id) => id,
        Subject::Moment { vm, at_ms } => {
            let moment = moment(&lines, vm, *at_ms);
            return write!(out, "{moment}").map_err(Error::failed);
        }
    };
    let Some(report) = report(&lines, id) else {
        return Err(Error::failed(format!(
            "none of {} lines names request {}: it was served, another VM took it, or its line \
             was dropped (look for `lines dropped`); with its VM and time, `explain --vm VM --at \
             SECONDS FILE...` tells what happened there",
            lines.len(),
            id
        )));
    };
    write!(out, "{report}").map_err(Error::failed)
}

fn read(file: &str) -> std::io::Result<String> {
    // The log of a killed process may end in the middle of a UTF-8 sequence.
    let bytes = match file {
        "-" => {
            let mut bytes = Vec::new();
            std::io::Read::read_to_end(&mut std::io::stdin(), &mut bytes)?;
            bytes
        }
        _ => std::fs::read(file)?,
    };
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
