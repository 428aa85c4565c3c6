//! A whole deployment in one process: groups of databases, and proxies on threads of their own.

use crate::clock::Span;
use crate::config::{Accepted, Document};
use crate::core::member::Member;
use crate::core::node::Identity;
use crate::net::pg;
use crate::net::proxy::{self, News, Setup};
use crate::standin::database::{Group, Handle, Lag, Spec};
use crate::standin::deployment::{APPLY_LAG, CONNECT, Deployment, GROUPS, RECEIVE_LAG, SERVICE};
use crate::types::{GroupId, Invalid, Life, Version, VmId};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// What a demo is to be.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where the first proxy listens for callers; port 0 takes free ports.
    pub listen: SocketAddr,
    /// How many proxies.
    pub proxies: u8,
    /// Which deployment.
    pub deployment: Deployment,
    /// When to kill the primary of the first group, in seconds from the start.
    pub kill_primary_after: Option<u64>,
}

/// A running demo.
#[derive(Debug)]
pub struct Demo {
    groups: BTreeMap<GroupId, Handle>,
    proxies: Vec<Proxy>,
    kill_primary_after: Option<u64>,
}

#[derive(Debug)]
struct Proxy {
    callers: SocketAddr,
    admin: SocketAddr,
    news: mpsc::UnboundedSender<News>,
    thread: JoinHandle<()>,
}

/// Why a demo does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound, or a thread not be started.
    #[error("{0}; another demo may be running: stop it or choose another --listen")]
    Io(#[from] io::Error),
    /// A name of the deployment is not valid.
    #[error(transparent)]
    Name(#[from] Invalid),
}

/// Starts the databases and proxies of `plan`.
pub async fn start(plan: &Plan) -> Result<Demo, Error> {
    let mut document = plan.deployment.document()?;
    let groups = start_groups(plan.deployment, &mut document)?;
    let accepted = Arc::new(Accepted {
        version: Version(1),
        document,
    });
    let mut members = Vec::new();
    let mut proxies = Vec::new();
    for index in 0..plan.proxies {
        let (member, proxy) = start_proxy(plan, index)?;
        members.push(member);
        proxies.push(proxy);
    }
    for proxy in &proxies {
        // A proxy that ended already shows when it is joined.
        let _ = proxy.news.send(News::Members(members.clone()));
        let _ = proxy.news.send(News::Accepted(Arc::clone(&accepted)));
    }
    Ok(Demo {
        groups,
        proxies,
        kill_primary_after: plan.kill_primary_after,
    })
}

fn start_groups(
    deployment: Deployment,
    document: &mut Document,
) -> Result<BTreeMap<GroupId, Handle>, Error> {
    let mut handles = BTreeMap::new();
    for (id, group) in &mut document.groups {
        let mut spec = Spec::new(group.clone());
        spec.lag = Lag {
            receive: RECEIVE_LAG,
            apply: APPLY_LAG,
        };
        spec.service = SERVICE;
        spec.connect = CONNECT;
        spec.latency = Arc::new(move |peer, domain| deployment.latency_to(peer, domain));
        let handle = Group::start(spec)?;
        *group = handle.group().clone();
        handles.insert(id.clone(), handle);
    }
    Ok(handles)
}

fn start_proxy(plan: &Plan, index: u8) -> Result<(Member, Proxy), Error> {
    let place = usize::from(index) % GROUPS;
    let source = Deployment::address(place, index + 1);
    let bind = |address: SocketAddr| -> io::Result<(std::net::TcpListener, SocketAddr)> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    let mut listen = plan.listen;
    if listen.port() != 0 {
        listen.set_port(listen.port() + u16::from(index));
    }
    let (callers, callers_address) = bind(listen)?;
    let (peers, peers_address) = bind(SocketAddr::new(source, 0))?;
    let (admin, admin_address) = bind(SocketAddr::new(listen.ip(), 0))?;
    let vm: VmId = format!("vm{}", index + 1).parse()?;
    let domain = plan.deployment.places()[place].domain.parse()?;
    let identity = Identity {
        vm: vm.clone(),
        domain,
        life: Life(rand::random()),
    };
    let member = Member {
        vm,
        address: peers_address,
        domain: identity.domain.clone(),
        leaving: false,
    };
    let (news, receiver) = mpsc::unbounded_channel();
    let thread = std::thread::Builder::new()
        .name(member.vm.to_string())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listeners = (
                    tokio::net::TcpListener::from_std(callers),
                    tokio::net::TcpListener::from_std(peers),
                    tokio::net::TcpListener::from_std(admin),
                );
                let (Ok(callers), Ok(peers), Ok(admin)) = listeners else {
                    log::error!("a listener can't be used: free its port");
                    return;
                };
                let rules = pg::Rules::default();
                let setup = Setup {
                    identity,
                    source,
                    callers,
                    peers,
                    admin,
                    rules,
                };
                proxy::run(setup, receiver).await;
            });
        })?;
    Ok((
        member,
        Proxy {
            callers: callers_address,
            admin: admin_address,
            news,
            thread,
        },
    ))
}

impl Demo {
    /// Where the proxies listen for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.callers).collect()
    }

    /// Where the proxies listen for operators.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.admin).collect()
    }

    /// The databases, for faults.
    pub fn groups(&self) -> &BTreeMap<GroupId, Handle> {
        &self.groups
    }

    /// Asks one proxy to stop; it finishes what is in flight.
    pub fn stop_proxy(&self, index: usize) {
        if let Some(proxy) = self.proxies.get(index) {
            // One that ended already needs no telling.
            let _ = proxy.news.send(News::Stop);
        }
    }

    /// Runs until SIGTERM or SIGINT, then stops the proxies.
    pub async fn run_until_signal(self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let kill = self.kill_in_time();
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = kill => {}
        }
        self.stop();
        Ok(())
    }

    async fn kill_in_time(&self) {
        if let Some(secs) = self.kill_primary_after {
            tokio::time::sleep(Duration::from(Span::from_secs(secs))).await;
            if let Some((group, handle)) = self.groups.iter().next()
                && let Some(primary) = handle.primary()
            {
                eprintln!("killing {primary}, the primary of {group}");
                handle.kill(&primary);
            }
        }
        std::future::pending().await
    }

    /// Stops the proxies and waits for them.
    pub fn stop(self) {
        for index in 0..self.proxies.len() {
            self.stop_proxy(index);
        }
        for proxy in self.proxies {
            if proxy.thread.join().is_err() {
                log::error!("a proxy's thread panicked: report its backtrace");
            }
        }
    }
}
