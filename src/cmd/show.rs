//! `lentilspoke show`: prints the configuration in force.

use crate::cmd::apply::Target;
use crate::cmd::{Error, parse};
use crate::config::{Accepted, File};
use crate::net::http;
use crate::net::platform::Client;
use crate::net::platform::apply::CONFIG_PATH;
use crate::types::Version;

const USAGE: &str = "\
Print the configuration in force, as a file to edit and apply.

Usage: lentilspoke show --proxy ADDRESS
       lentilspoke show --platform ADDRESS

Options:
    --proxy ADDRESS       what this proxy has in force, by its `admin` address
    --platform ADDRESS    what the platform holds
    -h, --help            print this text
";

/// Runs the subcommand.
pub fn run(arguments: &[String]) -> Result<(), Error> {
    let matches = parse(&mut Target::options(), USAGE, arguments)?;
    if let Some(extra) = matches.free.first() {
        return Err(Error::usage(format!("`{extra}` is one word too many")));
    }
    let target = Target::parse(&matches)?;
    let accepted = actix_rt::System::new().block_on(fetch(&target))?;
    let accepted = accepted.ok_or_else(|| {
        Error::failed("nothing is in force yet: apply a first document with --base 0")
    })?;
    let text = serde_json::to_string_pretty(&File::from(accepted)).map_err(Error::failed)?;
    println!("{text}");
    Ok(())
}

async fn fetch(target: &Target) -> Result<Option<Accepted>, Error> {
    match *target {
        Target::Platform(address) => Client::new([address])
            .config(Version(0))
            .await
            .map_err(Error::failed),
        Target::Proxy(address) => {
            let reply = http::get(address, CONFIG_PATH).await;
            let reply = reply.map_err(Error::failed)?;
            serde_json::from_slice(&reply.body).map_err(|error| {
                Error::failed(format!(
                    "{address} told something else than a configuration ({error}): give a proxy's admin address"
                ))
            })
        }
    }
}
