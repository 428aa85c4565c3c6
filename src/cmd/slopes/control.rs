//! `lentilspoke slopes control`: the cost of control messages by the number of nodes and databases.

use crate::clock::Span;
use crate::cmd::{Error, parse, value};
use crate::process;
use crate::slopes::deployment::DOMAINS;
use crate::slopes::fleet::{Fleet, Size};
use crate::types::Version;
use getopts::Options;

const USAGE: &str = "\
Measure what control costs as nodes and databases grow: the real core of every node
on one virtual clock, with stand-ins that only answer orders about terms.

Usage: lentilspoke slopes control [options]

Options:
    --sizes N/G,N/G,...    nodes and groups of each point
                           [8/3,36/25,72/50,145/100,290/200,580/400]
    --settle SPAN          how long a fleet starts before it is measured [20s]
    --length SPAN          how long it is measured [10s]
    -h, --help             print this text

Prints, for each size and node: control messages and bytes sent a second (also of the
node that sends most), processor time, resident memory, streams; then the bytes a node
spends to spread one configuration and the time until
a configuration is in force everywhere, and until every group is served again after a
VM, a rack of ten and a failure domain are lost, with the holders that moved.
";

const SIZES: &str = "8/3,36/25,72/50,145/100,290/200,580/400";
const RACK_SIZE: usize = 10;
const LIST_LAG: Span = Span::from_secs(5);
const MAX_WAIT: Span = Span::from_secs(60);

struct Args {
    sizes: Vec<Size>,
    settle: Span,
    length: Span,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let mut options = Options::new();
        options.optopt("", "sizes", "", "N/G,...");
        options.optopt("", "settle", "", "SPAN");
        options.optopt("", "length", "", "SPAN");
        let matches = parse(&mut options, USAGE, arguments)?;
        let sizes = matches.opt_str("sizes").unwrap_or_else(|| SIZES.into());
        Ok(Self {
            sizes: sizes.split(',').map(size).collect::<Result<_, _>>()?,
            settle: value(&matches, "settle")?.unwrap_or(Span::from_secs(20)),
            length: value(&matches, "length")?.unwrap_or(Span::from_secs(10)),
        })
    }
}

fn size(text: &str) -> Result<Size, Error> {
    let invalid = || Error::usage(format!("--sizes {text}: write NODES/GROUPS, such as 36/25"));
    let (nodes, groups) = text.split_once('/').ok_or_else(invalid)?;
    let (nodes, groups) = (nodes.parse().ok(), groups.parse().ok());
    match (nodes, groups) {
        (Some(nodes @ 1..), Some(groups @ 1..)) => Ok(Size { nodes, groups }),
        _ => Err(invalid()),
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    println!(
        "nodes groups | messages/s  bytes/s  most bytes/s |  cpu us/s   most us/s | KiB/node streams | spread B in force  vm lost  rack lost  domain lost"
    );
    for size in &args.sizes {
        println!("{}", row(&args, *size)?);
    }
    Ok(())
}

fn row(args: &Args, size: Size) -> Result<String, Error> {
    let before = process::resident().unwrap_or_default();
    let mut fleet = Fleet::start(size).map_err(Error::failed)?;
    fleet.run(args.settle);
    if !fleet.served() {
        return Err(Error::failed(format!(
            "{} groups are not served",
            fleet.unserved()
        )));
    }
    let cost = fleet.run(args.length);
    let memory = process::resident()
        .unwrap_or_default()
        .saturating_sub(before)
        / size.nodes as u64;
    let (sent, start) = (fleet.bytes(), fleet.now());
    fleet.apply(Version(2));
    let in_force = format_span(fleet.run_until(MAX_WAIT, |fleet| fleet.in_force(Version(2))));
    fleet.run(LIST_LAG);
    let background = cost.bytes * fleet.now().since(start).0 as f64 / 1e6;
    let spread = (fleet.bytes() - sent) as f64 / size.nodes as f64 - background;
    let vm = measure_loss(&mut fleet, |node| node == 1);
    let rack = measure_loss(&mut fleet, |node| {
        node % DOMAINS == 2 && node / DOMAINS < RACK_SIZE
    });
    let domain = measure_loss(&mut fleet, |node| node % DOMAINS == 3);
    Ok(format!(
        "{:5} {:6} | {:10.1} {:8.0} {:13.0} | {:9.0} {:11.0} | {:8} {:7.1} | {spread:8.0} {in_force:>8}  {vm}  {rack}  {domain}",
        size.nodes,
        size.groups,
        cost.messages,
        cost.bytes,
        cost.most_bytes,
        cost.micros,
        cost.most_micros,
        memory / 1024,
        cost.streams,
    ))
}

fn measure_loss(fleet: &mut Fleet, which: impl Fn(usize) -> bool) -> String {
    let moved = fleet.lose(which, LIST_LAG);
    // If the lost VM leads no group, every group is still served.
    let took = format_span(fleet.run_until(MAX_WAIT, Fleet::served));
    fleet.run(LIST_LAG + LIST_LAG);
    format!("{took} ({moved})")
}

fn format_span(span: Option<Span>) -> String {
    span.map_or_else(
        || "never".into(),
        |span| format!("{:.2}s", span.0 as f64 / 1e6),
    )
}
