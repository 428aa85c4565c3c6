//! Runs a deployment in one process: groups of databases, and one thread for each proxy.

use crate::clock::Span;
use crate::config::{Document, Durability, Pool};
use crate::core::member::{Identity, Member};
use crate::net::pg;
use crate::net::platform::Client;
use crate::net::platform::apply::{Proposal, Verdict, settle};
use crate::net::proxy::{self, Setup};
use crate::net::shell::Status;
use crate::standin::database::{Group, Handle, Lag, Spec};
use crate::standin::deployment::{APPLY_LAG, CONNECT, Deployment, GROUPS, RECEIVE_LAG, SERVICE};
use crate::standin::platform::{self, Platform};
use crate::types::{ApplyId, Domain, GroupId, Invalid, Life, Version};
use crate::util;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// How long a demo may take to start until all groups accept transactions.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval between two checks whether a group accepts transactions.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The options of a demo.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The address on which the first proxy listens for callers; port 0 selects free ports.
    pub listen: SocketAddr,
    /// The number of proxies.
    pub proxies: u8,
    /// The deployment to run.
    pub deployment: Deployment,
    /// When to kill the primary of the first group, in seconds from the start.
    pub kill_primary_after: Option<u64>,
    /// Whether to run ideal databases, to measure the overhead of the proxies: they have no latency or
    /// lag and many slots, and all are in the first proxy's failure domain, so that it is their
    /// holder and the others forward to it. The caller [`PRIMARY_CALLER`] then has durability
    /// `primary`.
    pub ideal: bool,
}

impl Plan {
    /// Returns a plan for the association's deployment on free ports of this machine.
    pub fn on_free_ports(proxies: u8) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            proxies,
            deployment: Deployment::Association,
            kill_primary_after: None,
            ideal: false,
        }
    }
}

/// The caller whose writes need only the primary, in an ideal deployment.
pub const PRIMARY_CALLER: &str = "primary";

/// The number of slots, and of connections, of a database in an ideal deployment.
const IDEAL_SLOTS: u32 = 64;

/// A running demo.
#[derive(Debug)]
pub struct Demo {
    groups: BTreeMap<GroupId, Handle>,
    platform: platform::Handle,
    proxies: Vec<Option<Proxy>>,
    kill_primary_after: Option<u64>,
}

#[derive(Debug)]
struct Proxy {
    callers: SocketAddr,
    admin: SocketAddr,
    status: watch::Receiver<Status>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// The reason why a demo did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound, or a thread can't be started.
    #[error("{0}; another demo may be running: stop it or choose another --listen")]
    Io(#[from] io::Error),
    /// The deployment's configuration was not accepted.
    #[error("the configuration was not accepted: {0}")]
    Config(Box<str>),
    /// A name of the deployment is not valid.
    #[error(transparent)]
    Name(#[from] Invalid),
}

/// Starts the databases and proxies of `plan`, and waits up to 20 s until all groups are served.
pub async fn start(plan: &Plan) -> Result<Demo, Error> {
    let mut document = plan.deployment.document()?;
    if plan.ideal {
        make_ideal(plan.deployment, &mut document)?;
    }
    let groups = start_groups(plan, &mut document)?;
    let platform = Platform::start(SocketAddr::new(plan.listen.ip(), 0))?;
    let proposal = Proposal {
        id: ApplyId(rand::random()),
        base: Version(0),
        document,
    };
    let client = Client::new([platform.address()]);
    let verdict = settle(&client, &proposal, Instant::now() + START_TIMEOUT).await;
    if !matches!(verdict, Verdict::Accepted(_)) {
        return Err(Error::Config(format!("{verdict:?}").into()));
    }
    let mut proxies = Vec::new();
    for index in 0..plan.proxies {
        let (member, proxy) = start_proxy(plan, index, platform.address())?;
        platform.join(member);
        proxies.push(Some(proxy));
    }
    let demo = Demo {
        groups,
        platform,
        proxies,
        kill_primary_after: plan.kill_primary_after,
    };
    demo.wait_until_serving().await;
    Ok(demo)
}

fn make_ideal(deployment: Deployment, document: &mut Document) -> Result<(), Error> {
    let domain: Domain = deployment.places()[0].domain.parse()?;
    for group in document.groups.values_mut() {
        for database in group.databases.values_mut() {
            database.domain = domain.clone();
            database.slots = IDEAL_SLOTS;
            database.connections = IDEAL_SLOTS;
        }
    }
    let pool = Pool {
        groups: document.groups.keys().cloned().collect(),
        callers: vec![PRIMARY_CALLER.parse()?],
        durability: Durability::Primary,
        max_age: None,
        patience: Span::from_secs(5),
        long: false,
    };
    document.pools.insert(PRIMARY_CALLER.parse()?, pool);
    Ok(())
}

fn start_groups(plan: &Plan, document: &mut Document) -> Result<BTreeMap<GroupId, Handle>, Error> {
    let mut handles = BTreeMap::new();
    for (id, group) in &mut document.groups {
        let mut spec = Spec::new(group.clone());
        if !plan.ideal {
            let deployment = plan.deployment;
            spec.lag = Lag {
                receive: RECEIVE_LAG,
                apply: APPLY_LAG,
            };
            spec.service = SERVICE;
            spec.connect = CONNECT;
            spec.latency = Arc::new(move |peer, domain| deployment.latency_to(peer, domain));
        }
        let handle = Group::start(spec)?;
        *group = handle.group().clone();
        handles.insert(id.clone(), handle);
    }
    Ok(handles)
}

fn bind(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

fn start_proxy(plan: &Plan, index: u8, platform: SocketAddr) -> Result<(Member, Proxy), Error> {
    let place = usize::from(index) % GROUPS;
    let source = Deployment::address(place, index + 1);
    let mut listen = plan.listen;
    if listen.port() != 0 {
        listen.set_port(listen.port() + u16::from(index));
    }
    let (callers, callers_address) = bind(listen)?;
    let (peers, peers_address) = bind(SocketAddr::new(source, 0))?;
    let (admin, admin_address) = bind(SocketAddr::new(listen.ip(), 0))?;
    let identity = Identity {
        vm: format!("vm{}", index + 1).parse()?,
        domain: plan.deployment.places()[place].domain.parse()?,
        life: Life(rand::random()),
    };
    let member = Member {
        vm: identity.vm.clone(),
        address: peers_address,
        domain: identity.domain.clone(),
        leaving: false,
    };
    let (stop, stopped) = oneshot::channel();
    let (status, status_receiver) = watch::channel(Status::default());
    let build = move || {
        Ok(Setup {
            identity,
            source,
            callers: tokio::net::TcpListener::from_std(callers)?,
            peers: tokio::net::TcpListener::from_std(peers)?,
            admin: tokio::net::TcpListener::from_std(admin)?,
            platform: Client::new([platform]),
            rules: pg::Rules::default(),
            status,
        })
    };
    let thread = std::thread::Builder::new()
        .name(member.vm.to_string())
        .spawn(move || run_proxy(build, stopped))?;
    let proxy = Proxy {
        callers: callers_address,
        admin: admin_address,
        status: status_receiver,
        stop,
        thread,
    };
    Ok((member, proxy))
}

/// Runs one proxy on this thread. The setup is built here because the listeners must be registered
/// on the thread that serves them.
fn run_proxy(build: impl FnOnce() -> io::Result<Setup>, stopped: oneshot::Receiver<()>) {
    actix_rt::System::new().block_on(async {
        match build() {
            // If the demo is dropped, its sender is dropped too, and the proxy stops.
            Ok(setup) => proxy::run(setup, async { stopped.await.unwrap_or_default() }).await,
            Err(error) => log::error!("a listener can't be used: {error}; free its port"),
        }
    });
}

impl Demo {
    /// Returns the addresses on which the proxies listen for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.running().map(|proxy| proxy.callers).collect()
    }

    /// Returns the addresses on which the proxies listen for operators.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.running().map(|proxy| proxy.admin).collect()
    }

    /// Returns a receiver of each proxy's status.
    pub fn statuses(&self) -> Vec<watch::Receiver<Status>> {
        self.running().map(|proxy| proxy.status.clone()).collect()
    }

    /// Returns the database groups, for fault injection.
    pub fn groups(&self) -> &BTreeMap<GroupId, Handle> {
        &self.groups
    }

    /// Returns the platform, for fault injection.
    pub fn platform(&self) -> &platform::Handle {
        &self.platform
    }

    fn running(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().flatten()
    }

    async fn wait_until_serving(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        for address in self.callers() {
            for group in self.groups.keys() {
                while Instant::now() < deadline && !accepts_transaction(address, group).await {
                    tokio::time::sleep(START_CHECK_INTERVAL).await;
                }
            }
        }
    }

    /// Asks the proxy with this index, counted from 0, to stop, and returns its thread. The proxy
    /// finishes the requests in progress.
    pub fn stop_proxy(&mut self, index: usize) -> Option<JoinHandle<()>> {
        let proxy = self.proxies.get_mut(index)?.take()?;
        // Sending fails if the proxy has already ended.
        let _ = proxy.stop.send(());
        Some(proxy.thread)
    }

    /// Runs until SIGTERM or SIGINT, then stops the proxies. Returns an error if the signals can't be
    /// handled.
    pub async fn run_until_signal(self) -> io::Result<()> {
        let stop_signal = util::asked_to_stop()?;
        tokio::select! {
            () = stop_signal => {}
            () = self.kill_primary() => {}
        }
        self.stop();
        Ok(())
    }

    async fn kill_primary(&self) {
        if let Some(secs) = self.kill_primary_after {
            tokio::time::sleep(Duration::from_secs(secs)).await;
            if let Some((group, handle)) = self.groups.iter().next()
                && let Some(primary) = handle.primary()
            {
                println!("killed {primary}, the primary of {group}");
                handle.kill(&primary);
            }
        }
        std::future::pending().await
    }

    /// Stops the proxies and waits until their threads have ended.
    pub fn stop(mut self) {
        let indexes = 0..self.proxies.len();
        let threads: Vec<_> = indexes.filter_map(|index| self.stop_proxy(index)).collect();
        for thread in threads {
            if thread.join().is_err() {
                log::error!("a proxy's thread panicked: report its backtrace");
            }
        }
    }
}

/// Whether the primary of `group` accepts a transaction through the proxy at `address`.
async fn accepts_transaction(address: SocketAddr, group: &GroupId) -> bool {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("demo").dbname(group.as_str());
    let Ok((client, connection)) = config.connect(tokio_postgres::NoTls).await else {
        return false;
    };
    let connection = actix_rt::spawn(connection);
    let accepts_transaction = client.batch_execute("BEGIN").await.is_ok()
        && client.batch_execute("ROLLBACK").await.is_ok();
    connection.abort();
    accepts_transaction
}
