//! `lentilspoke slopes streams`: memory per stream between proxies.

use crate::cmd::{Error, parse};
use crate::slopes::callers::show;
use crate::slopes::streams;
use getopts::Options;

const USAGE: &str = "\
Measure resident memory for each stream between two proxies, both ends in this process.

Usage: lentilspoke slopes streams [options]

Options:
    --streams N,N,...    streams, rising [100,200,400,579]
    -h, --help           print this text
";

const STREAMS: &str = "100,200,400,579";

/// Runs the measurement.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let mut options = Options::new();
    options.optopt("", "streams", "", "N,N,...");
    let matches = parse(&mut options, USAGE, arguments)?;
    let text = matches.opt_str("streams").unwrap_or_else(|| STREAMS.into());
    let counts: Result<Vec<usize>, _> = text.split(',').map(str::parse).collect();
    let counts = counts.map_err(|_| {
        Error::usage(format!(
            "--streams {text}: write whole numbers, such as {STREAMS}"
        ))
    })?;
    let measured = actix_rt::System::new().block_on(streams::run(&counts));
    let levels = measured.map_err(Error::failed)?;
    println!("streams, both ends  | resident bytes (spread of 5 readings)");
    show("streams", &levels, &|line| println!("{line}"));
    Ok(())
}
