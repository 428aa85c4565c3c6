//! `lentilspoke check`: checks a configuration file without applying it.

use crate::cmd::{Error, parse, single};
use crate::config::File;

const USAGE: &str = "\
Check a configuration file without applying it.

Usage: lentilspoke check FILE

A file that is wrong is told as FILE:LINE:COLUMN, what is wrong, and the remedy.

Options:
    -h, --help    print this text
";

struct Args {
    file: Box<str>,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let matches = parse(&mut getopts::Options::new(), USAGE, arguments)?;
        let file = single(&matches, "FILE")?;
        Ok(Self { file })
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let document = read(&args.file)?.into_document();
    println!(
        "{}: ok: groups {}, databases {}, pools {}",
        args.file,
        document.groups.len(),
        document.databases().count(),
        document.pools.len(),
    );
    Ok(())
}

/// Reads and checks the configuration file at `path`.
pub(super) fn read(path: &str) -> Result<File, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::failed(format!("{path} can't be read: {error}; check the path")))?;
    text.parse()
        .map_err(|error| Error::failed(format!("{path}:{error}")))
}
