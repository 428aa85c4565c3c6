//! `lentilspoke serve`: one proxy.

use crate::cmd::{Error, parse, single};
use crate::core::node::Identity;
use crate::net::pg;
use crate::net::platform::Client;
use crate::net::proxy::{self, Setup};
use crate::settings::Settings;
use crate::types::Life;
use crate::util;
use std::rc::Rc;
use tokio::net::TcpListener;

const USAGE: &str = "\
Run one proxy, until SIGTERM or SIGINT asks it to stop; it then finishes what is in
flight. Prints `ready` and the callers' address once it listens; GET /ready on the
`admin` address answers 200 once it has a configuration.

Usage: lentilspoke serve SETTINGS

SETTINGS is a file of JSON with comments: the VM's name and failure domain, where it
listens for callers, other proxies and operators, and where the platform is.

Options:
    -h, --help    print this text
";

struct Args {
    path: Box<str>,
}

impl Args {
    fn parse(words: &[String]) -> Result<Self, Error> {
        let matches = parse(&mut getopts::Options::new(), USAGE, words)?;
        Ok(Self {
            path: single(&matches, "SETTINGS")?,
        })
    }
}

/// Runs the subcommand.
pub fn run(words: &[String]) -> Result<(), Error> {
    let args = Args::parse(words)?;
    let text = std::fs::read_to_string(&*args.path)
        .map_err(|error| Error::failed(format!("{}: {error}", args.path)))?;
    let settings: Settings = text
        .parse()
        .map_err(|error| Error::failed(format!("{}:{error}", args.path)))?;
    util::log(settings.log.into());
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let callers = listen("callers", settings.callers).await?;
    let setup = Setup {
        identity: Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            life: Life(rand::random()),
        },
        source: settings.peers.ip(),
        peers: listen("peers", settings.peers).await?,
        admin: listen("admin", settings.admin).await?,
        platform: Client::new(settings.platform.clone()),
        rules: pg::Rules {
            callers: settings.limits.connections as usize,
            key: settings.key().map(Rc::new),
            ..pg::Rules::default()
        },
        callers,
    };
    println!("ready {}", settings.callers);
    proxy::run(setup, util::asked_to_stop().map_err(Error::failed)?).await;
    Ok(())
}

async fn listen(key: &str, address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| {
        Error::failed(format!(
            "`{key}`: can't listen on {address}: {error}; change the settings"
        ))
    })
}
