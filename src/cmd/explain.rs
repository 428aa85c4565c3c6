//! `lentilspoke explain`: one request's story out of the logs of many VMs.

use crate::cmd::{Error, parse};
use crate::explain::line::Reader;
use crate::explain::story;
use std::path::Path;

const USAGE: &str = "\
Print what became of one request: its own log lines, on every VM, and the changes of
belief around them, in order. Those are who leads its group, the configuration, the
register of databases, the steward, and the store.

Usage: lentilspoke explain ID FILE...

ID is the request's id, as its caller knows it and as `request=` names it. Each FILE
holds the output of one VM, named as the VM is, or lines that start with a time in
seconds and the VM's name. `-` reads standard input.

Options:
    -h, --help    print this text
";

struct Args {
    id: Box<str>,
    files: Vec<Box<str>>,
}

impl Args {
    fn parse(words: &[String]) -> Result<Self, Error> {
        let matches = parse(&mut getopts::Options::new(), USAGE, words)?;
        match matches.free.as_slice() {
            [] => Err(Error::usage("ID is missing")),
            [_] => Err(Error::usage("FILE is missing: name the logs of all VMs")),
            [id, files @ ..] => Ok(Self {
                id: id.as_str().into(),
                files: files.iter().map(|file| file.as_str().into()).collect(),
            }),
        }
    }
}

/// Runs the subcommand, and writes to `out`.
pub fn run(words: &[String], out: &mut impl std::io::Write) -> Result<(), Error> {
    let args = Args::parse(words)?;
    let mut reader = Reader::default();
    for file in &args.files {
        let text = read(file).map_err(|error| Error::failed(format!("{file}: {error}")))?;
        let name = Path::new(&**file).file_stem().unwrap_or_default();
        reader.read(&name.to_string_lossy(), &text);
    }
    let lines = reader.lines();
    let Some(story) = story(&lines, &args.id) else {
        return Err(Error::failed(format!(
            "none of {} lines names request {}: it was served, another VM took it, or its line \
             was dropped (look for `lines dropped`)",
            lines.len(),
            args.id
        )));
    };
    write!(out, "{story}").map_err(Error::failed)
}

fn read(file: &str) -> std::io::Result<String> {
    // What a process was writing when it was killed may end in the middle of a letter.
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
