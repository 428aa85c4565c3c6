//! One VM of direct access: its listeners, its components, and the order in which they stop.

mod admin;
mod reload;

use crate::clock::Span;
use crate::direct::adapter::{Adapter, Build, Environment, Stream};
use crate::direct::control::{Control, Setup};
use crate::direct::front::{self, Front};
use crate::direct::relay::serve::Relay;
use crate::direct::view::Shared;
use crate::net::{http, mesh, system};
use crate::settings::{Direct, Settings};
use crate::types::Life;
use crate::util;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long callers still connect after this VM has reported that it is not ready: the balancer checks
/// once a second, and needs two such answers.
const BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// How long before the end of the grace period the process exits, so that it isn't killed.
const EXIT_MARGIN: Span = Span::from_millis(300);

/// How long the last steps of a stop may take, which are a call to the store.
const LAST_STEPS_TIME: Span = Span::from_millis(500);

/// The pause after a failed accept, which usually means that the process has no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Descriptors reserved for files and for connections to databases, other VMs and the store.
const RESERVED_DESCRIPTORS: u32 = 1_000;

/// The settings that a VM starts with, and how to read them again.
pub struct Startup {
    /// All settings.
    pub settings: Settings,
    /// The settings of direct access.
    pub direct: Direct,
    /// Reads the settings again.
    pub read: Box<dyn Fn() -> Result<Settings, Box<str>>>,
}

impl fmt::Debug for Startup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Startup").finish_non_exhaustive()
    }
}

/// A running VM.
struct Vm {
    shared: Rc<Shared>,
    front: Rc<Front>,
    relay: Rc<Relay>,
    control: Rc<Control>,
    /// How many callers are connected.
    callers: Cell<u32>,
    /// The most callers that may be connected at once.
    limit: Cell<u32>,
    /// How long a planned stop may take.
    grace: Cell<Span>,
}

/// Runs the VM until a planned stop is complete.
pub async fn run(startup: Startup, build: Build) -> io::Result<()> {
    let stop = util::stop_signal()?;
    let listeners = Listeners::open(&startup)?;
    println!("ready {}", startup.settings.callers);
    let adapter = build(Environment {
        store: startup.settings.platform[0],
        orders: startup.direct.orders,
        connect: system::connect(false),
        connect_with_reset: system::connect(true),
        clock: system::clock(),
    });
    log::info!(callers:% = startup.settings.callers, admin:% = startup.settings.admin; "listening");
    let vm = Vm::start(&startup, adapter);
    let Listeners {
        callers,
        peers,
        relays,
        ready,
        operators,
    } = listeners;
    let control = Rc::clone(&vm.control);
    actix_rt::spawn(mesh::serve(
        peers,
        Rc::new(move |question| control.answer(question)),
    ));
    actix_rt::spawn(http::serve(ready, admin::ready(Rc::clone(&vm))));
    if let Some(operators) = operators {
        actix_rt::spawn(http::serve(operators, admin::operators(Rc::clone(&vm))));
    }
    actix_rt::spawn(reload::watch(Rc::clone(&vm), startup));
    if let Some(relays) = relays {
        actix_rt::spawn(accept_relays(Rc::clone(&vm), relays));
    }
    let acceptor = actix_rt::spawn(accept_callers(Rc::clone(&vm), callers));
    stop.await;
    log::info!("stopping: not ready, duties are handed over, what is in flight finishes");
    vm.stop(acceptor).await;
    log::info!("stopped");
    Ok(())
}

/// The listening sockets of a VM.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    relays: Option<TcpListener>,
    ready: TcpListener,
    /// None if its port is in use: the VM serves callers even without metrics.
    operators: Option<TcpListener>,
}

impl Listeners {
    fn open(startup: &Startup) -> io::Result<Self> {
        Ok(Self {
            callers: listen("callers", startup.settings.callers)?,
            peers: listen("peers", startup.settings.peers)?,
            relays: match startup.direct.relay {
                Some(relay) => Some(listen("direct.relay", relay)?),
                None => None,
            },
            ready: listen("direct.ready", startup.direct.ready)?,
            operators: listen("admin", startup.settings.admin)
                .inspect_err(|error| log::error!("metrics and dumps are not served: {error}"))
                .ok(),
        })
    }
}

fn listen(key: &str, address: SocketAddr) -> io::Result<TcpListener> {
    system::listen(address).map_err(|error| {
        let text = format!("`{key}`: can't listen on {address}: {error}; change the settings");
        io::Error::new(error.kind(), text)
    })
}

/// Wraps the adapter so that its store calls are counted.
fn count_store_calls(mut adapter: Adapter, shared: &Rc<Shared>) -> Adapter {
    let (store, shared) = (adapter.store, Rc::clone(shared));
    adapter.store = Rc::new(move |command, timeout| {
        let (call, shared) = (store(command.clone(), timeout), Rc::clone(&shared));
        Box::pin(async move {
            let answer = call.await;
            shared.meter.store_call(&command, &answer);
            answer
        })
    });
    adapter
}

/// Returns how many callers the settings and the free descriptors allow.
fn callers_limit(settings: &Settings, direct: &Direct) -> u32 {
    let free = direct.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    settings.limits.connections.min(free.max(1))
}

impl Vm {
    fn start(startup: &Startup, adapter: Adapter) -> Rc<Self> {
        let (settings, direct) = (&startup.settings, &startup.direct);
        let shared = Rc::new(Shared::default());
        let adapter = count_store_calls(adapter, &shared);
        let control = Control::start(Setup {
            adapter: adapter.clone(),
            shared: Rc::clone(&shared),
            call: mesh::call(),
            vm: settings.vm.clone(),
            life: Life(rand::random()),
            domain: settings.domain.clone(),
            cores: direct.cores,
            address: settings.peers,
            relay: direct.relay,
            seeds: direct.seeds.clone(),
        });
        let place = front::Location {
            domain: settings.domain.clone(),
            relay: direct.relay,
            regions: direct.regions.clone(),
        };
        let front = Front::new(adapter, Rc::clone(&shared), place);
        Rc::new(Self {
            relay: Relay::new(Rc::clone(front.runner.targets())),
            front,
            shared,
            control,
            callers: Cell::new(0),
            limit: Cell::new(callers_limit(settings, direct)),
            grace: Cell::new(direct.grace),
        })
    }

    /// Stops the VM. Callers are still accepted for `BALANCER_DELAY`, and the front ends idle sessions
    /// only then: the balancer sends callers for two more checks, and their connections must not be
    /// refused.
    ///
    /// The records of who leads are kept until the last session ends, because callers use them until
    /// then.
    async fn stop(&self, acceptor: actix_rt::task::JoinHandle<()>) {
        let grace = self.grace.get() - EXIT_MARGIN;
        let close = async {
            tokio::time::sleep(BALANCER_DELAY).await;
            acceptor.abort();
        };
        let rest = grace - LAST_STEPS_TIME;
        let served = async {
            tokio::join!(self.front.stop(rest), self.relay.stop(rest));
        };
        let all = async { tokio::join!(close, self.control.stop(served)) };
        // What is still open after this time would be cut anyway when the process is killed.
        let _ = tokio::time::timeout(grace.into(), all).await;
    }
}

/// Accepts relay streams from other VMs until it is dropped.
async fn accept_relays(vm: Rc<Vm>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if system::configure(&stream).is_ok() {
            actix_rt::spawn(Rc::clone(&vm.relay).serve_stream(Box::new(stream)));
        }
    }
}

/// Accepts callers until it is dropped.
async fn accept_callers(vm: Rc<Vm>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("could not accept a caller: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if vm.callers.get() >= vm.limit.get() {
            log::warn!(callers = vm.callers.get(); "a caller is refused, the connection limit is reached: raise `limits.connections`");
            continue;
        }
        if system::configure(&stream).is_err() {
            continue;
        }
        vm.callers.set(vm.callers.get() + 1);
        let vm = Rc::clone(&vm);
        actix_rt::spawn(async move {
            let stream: Box<dyn Stream> = Box::new(stream);
            Rc::clone(&vm.front).serve_stream(stream).await;
            vm.callers.set(vm.callers.get() - 1);
        });
    }
}
