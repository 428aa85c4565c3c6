//! `lentilspoke demo`: runs simulated databases and a few proxies in one process.

use crate::cmd::{Error, parse, value};
use crate::standin::demo::{self, Plan};
use crate::standin::deployment::Deployment;
use getopts::Options;
use std::net::SocketAddr;

const USAGE: &str = "\
Run stand-in databases and proxies in this process, with the sizes and latencies of
one of the users' deployments. Prints `ready` and the callers' addresses once it can
serve, the operators' addresses on stderr, and runs until SIGTERM or SIGINT.

Usage: lentilspoke demo [options]

Options:
    --listen IP:PORT          where the first proxy listens for callers; the others
                              take the ports that follow [127.0.0.1:6432]
    --proxies N               how many proxies, 1 to 16 [2]
    --deployment NAME         association or permits [association]
    --kill-primary-after S    kill the primary of ledger1 after S seconds
    -h, --help                print this text
";

const DEFAULT_LISTEN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 6432);
const DEFAULT_PROXIES: u8 = 2;
const MAX_PROXIES: u8 = 16;

fn plan(arguments: &[String]) -> Result<Plan, Error> {
    let mut options = Options::new();
    options.optopt("", "listen", "", "IP:PORT");
    options.optopt("", "proxies", "", "N");
    options.optopt("", "deployment", "", "NAME");
    options.optopt("", "kill-primary-after", "", "S");
    let matches = parse(&mut options, USAGE, arguments)?;
    if let Some(word) = matches.free.first() {
        return Err(Error::usage(format!("`{word}` is one word too many")));
    }
    let proxies = value(&matches, "proxies")?.unwrap_or(DEFAULT_PROXIES);
    if !(1..=MAX_PROXIES).contains(&proxies) {
        return Err(Error::usage(format!(
            "--proxies {proxies}: write 1 to {MAX_PROXIES}"
        )));
    }
    Ok(Plan {
        listen: value(&matches, "listen")?.unwrap_or(DEFAULT_LISTEN),
        proxies,
        deployment: value(&matches, "deployment")?.unwrap_or(Deployment::Association),
        kill_primary_after: value(&matches, "kill-primary-after")?,
        ideal: false,
    })
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let plan = plan(arguments)?;
    crate::util::log(log::LevelFilter::Warn);
    actix_rt::System::new().block_on(async {
        let demo = demo::start(&plan).await.map_err(Error::failed)?;
        let callers: Vec<String> = demo.callers().iter().map(SocketAddr::to_string).collect();
        println!("ready {}", callers.join(" "));
        let operators: Vec<String> = demo.admins().iter().map(SocketAddr::to_string).collect();
        eprintln!("operators {}", operators.join(" "));
        demo.run_until_signal().await.map_err(Error::failed)
    })
}
