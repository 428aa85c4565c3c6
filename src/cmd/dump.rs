//! `lentilspoke dump`: prints a process's state.

use crate::cmd::{Error, parse, single};
use crate::net::http;
use std::net::SocketAddr;

const USAGE: &str = "\
Print the state of a process as JSON: its sessions' floors, queues, slots, pools,
terms, ownership, configuration version, peers and budgets.

Usage: lentilspoke dump ADDRESS

ADDRESS is the process's `admin` address, such as 10.0.0.4:9100.

Options:
    -h, --help    print this text
";

struct Args {
    address: SocketAddr,
}

impl Args {
    fn parse(arguments: &[String]) -> Result<Self, Error> {
        let matches = parse(&mut getopts::Options::new(), USAGE, arguments)?;
        let address = single(&matches, "ADDRESS")?;
        let parsed = address.parse();
        let address = parsed
            .map_err(|_| Error::usage(format!("`{address}` is not an address: write IP:PORT")))?;
        Ok(Self { address })
    }
}

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let args = Args::parse(arguments)?;
    let reply = actix_rt::System::new()
        .block_on(http::get(args.address, "/dump"))
        .map_err(Error::failed)?;
    let text = String::from_utf8_lossy(&reply.body);
    if !reply.status.is_success() {
        return Err(Error::failed(text));
    }
    println!("{text}");
    Ok(())
}
