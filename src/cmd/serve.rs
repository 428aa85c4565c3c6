//! `lentilspoke serve`: runs one proxy.

use crate::cmd::{Error, parse, single};
use crate::core::member::Identity;
use crate::direct::adapter::Build;
use crate::logs;
use crate::net::direct::{self, Startup};
use crate::net::pg;
use crate::net::platform::Client;
use crate::net::proxy::{self, Setup};
use crate::net::system;
use crate::settings::Settings;
use crate::types::Life;
use crate::util;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const USAGE: &str = "\
Run one proxy, until SIGTERM or SIGINT asks it to stop; it then finishes what is in
flight. Prints `ready` and the callers' address once it listens; GET /ready on the
`admin` address answers 200 once it has a configuration.

Usage: lentilspoke serve [SETTINGS]

SETTINGS is a file of JSON with comments: the VM's name and failure domain, where it
listens for callers, other proxies and operators, and where the platform is. Left out,
the platform's environment variable holds its path.

Options:
    -h, --help    print this text
";

/// How long the process waits at its end until its last log lines are read.
const LOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

struct Args {
    path: Box<str>,
}

impl Args {
    fn parse(arguments: &[String], variable: &str) -> Result<Self, Error> {
        let matches = parse(&mut getopts::Options::new(), USAGE, arguments)?;
        if matches.free.is_empty()
            && let Ok(path) = std::env::var(variable)
        {
            return Ok(Self { path: path.into() });
        }
        Ok(Self {
            path: single(&matches, "SETTINGS")?,
        })
    }
}

/// Runs the subcommand. If `arguments` name no path, the environment variable `variable` holds it.
/// `build` makes the platform's adapter if the settings ask for direct access.
pub fn run(arguments: &[String], variable: &str, build: Build) -> Result<(), Error> {
    let args = Args::parse(arguments, variable)?;
    let settings = read(&args.path).map_err(Error::failed)?;
    let system = actix_rt::System::new();
    let Some(direct) = settings.direct.clone() else {
        util::log(settings.log.into());
        return system.block_on(serve(settings));
    };
    let lines = logs::install(settings.log.into(), system::since_now()).map_err(Error::failed)?;
    let startup = Startup {
        settings,
        direct,
        read: Box::new(move || read(&args.path)),
    };
    let result = system.block_on(direct::run(startup, build));
    lines.drain(LOG_DRAIN_TIMEOUT);
    result.map_err(Error::failed)
}

fn read(path: &str) -> Result<Settings, Box<str>> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let settings = text.parse().map_err(|error| format!("{path}:{error}"))?;
    Ok(settings)
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
        status: watch::Sender::default(),
    };
    println!("ready {}", settings.callers);
    proxy::run(setup, util::stop_signal().map_err(Error::failed)?).await;
    Ok(())
}

async fn listen(key: &str, address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| {
        Error::failed(format!(
            "`{key}`: can't listen on {address}: {error}; change the settings"
        ))
    })
}
