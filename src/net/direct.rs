//! One VM of direct access: its listeners, its parts, and the order in which it stops.

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

/// How long callers still come after this VM has said that it is not ready: the balancer asks each
/// second, and takes two answers to believe it.
const BALANCED: Duration = Duration::from_millis(2_200);

/// What is left of the grace when the process ends, so that it isn't killed.
const LEFT_OVER: Span = Span::from_millis(300);

/// What the last steps of a stop take: a call of the store.
const LAST_STEPS: Span = Span::from_millis(500);

/// How long to wait when no caller can be accepted, for want of descriptors as a rule.
const RETRY: Duration = Duration::from_millis(50);

/// Descriptors that callers may not take: files, connections to databases, other VMs, the store.
const RESERVED: u32 = 1_000;

/// What a process is told at its start, and how it reads that again.
pub struct Place {
    /// All settings.
    pub settings: Settings,
    /// Those of direct access.
    pub direct: Direct,
    /// Reads the settings again.
    pub read: Box<dyn Fn() -> Result<Settings, Box<str>>>,
}

impl fmt::Debug for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place").finish_non_exhaustive()
    }
}

/// One running VM.
struct Vm {
    shared: Rc<Shared>,
    front: Rc<Front>,
    relay: Rc<Relay>,
    control: Rc<Control>,
    callers: Cell<u32>,
    /// The most callers at once.
    limit: Cell<u32>,
    grace: Cell<Span>,
}

/// Runs the VM until a planned stop is over.
pub async fn run(place: Place, build: Build) -> io::Result<()> {
    let stop = util::stop_signal()?;
    let listeners = Listeners::open(&place)?;
    println!("ready {}", place.settings.callers);
    let adapter = build(Environment {
        store: place.settings.platform[0],
        orders: place.direct.orders,
        connect: system::connect(false),
        connect_with_reset: system::connect(true),
        clock: system::clock(),
    });
    log::info!(callers:% = place.settings.callers, admin:% = place.settings.admin; "listening");
    let vm = Vm::start(&place, adapter);
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
    actix_rt::spawn(reload::watch(Rc::clone(&vm), place));
    if let Some(relays) = relays {
        actix_rt::spawn(admit_relays(Rc::clone(&vm), relays));
    }
    let door = actix_rt::spawn(admit(Rc::clone(&vm), callers));
    stop.await;
    log::info!("stopping: not ready, duties are handed over, what is in flight finishes");
    vm.stop(door).await;
    log::info!("stopped");
    Ok(())
}

/// Where a VM is reached.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    relays: Option<TcpListener>,
    ready: TcpListener,
    /// None if its port was taken: service goes before metrics.
    operators: Option<TcpListener>,
}

impl Listeners {
    fn open(place: &Place) -> io::Result<Self> {
        Ok(Self {
            callers: listen("callers", place.settings.callers)?,
            peers: listen("peers", place.settings.peers)?,
            relays: match place.direct.relay {
                Some(relay) => Some(listen("direct.relay", relay)?),
                None => None,
            },
            ready: listen("direct.ready", place.direct.ready)?,
            operators: listen("admin", place.settings.admin)
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

/// The same platform, with what is asked of it counted.
fn metered(mut adapter: Adapter, shared: &Rc<Shared>) -> Adapter {
    let (store, shared) = (adapter.store, Rc::clone(shared));
    adapter.store = Rc::new(move |ask, within| {
        let (call, shared) = (store(ask.clone(), within), Rc::clone(&shared));
        Box::pin(async move {
            let answer = call.await;
            shared.meter.store_call(&ask, &answer);
            answer
        })
    });
    adapter
}

/// The most callers that settings allow.
fn callers_limit(settings: &Settings, direct: &Direct) -> u32 {
    let free = direct.descriptors.saturating_sub(RESERVED);
    settings.limits.connections.min(free.max(1))
}

impl Vm {
    fn start(place: &Place, adapter: Adapter) -> Rc<Self> {
        let (settings, direct) = (&place.settings, &place.direct);
        let shared = Rc::new(Shared::default());
        let adapter = metered(adapter, &shared);
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

    /// Failure: callers are still sent here for two of the balancer's questions after a stop began.
    /// Symptom: their connections are refused. Enough, because the door stays open for that long,
    /// and the front ends idle sessions only then.
    ///
    /// Who leads stays known until the last session is over, since callers go on until then.
    async fn stop(&self, door: actix_rt::task::JoinHandle<()>) {
        let grace = self.grace.get() - LEFT_OVER;
        let close = async {
            tokio::time::sleep(BALANCED).await;
            door.abort();
        };
        let rest = grace - LAST_STEPS;
        let served = async {
            tokio::join!(self.front.stop(rest), self.relay.stop(rest));
        };
        let all = async { tokio::join!(close, self.control.stop(served)) };
        // Whatever is still open then would be cut by the kill that follows.
        let _ = tokio::time::timeout(grace.into(), all).await;
    }
}

/// Accepts other VMs' streams, for relaying.
async fn admit_relays(vm: Rc<Vm>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        if system::prepare(&stream).is_ok() {
            actix_rt::spawn(Rc::clone(&vm.relay).serve_stream(Box::new(stream)));
        }
    }
}

/// Accepts callers until it is dropped.
async fn admit(vm: Rc<Vm>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("could not accept a caller: {error}");
                tokio::time::sleep(RETRY).await;
                continue;
            }
        };
        if vm.callers.get() >= vm.limit.get() {
            log::warn!(callers = vm.callers.get(); "a caller is turned away: raise `limits.connections`");
            continue;
        }
        if system::prepare(&stream).is_err() {
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
