//! A proxy process: its listeners, its core and its watch on the platform.

use crate::config::Accepted;
use crate::core::member::Identity;
use crate::core::node::Input;
use crate::net::platform::watch::{self, Event, Pace};
use crate::net::platform::{Client, Listed};
use crate::net::shell::{Shell, Status};
use crate::net::{admin, pg};
use crate::types::VmId;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch::Sender;

/// The parts from which a proxy is started.
#[derive(Debug)]
pub struct Setup {
    /// The identity of this VM and process.
    pub identity: Identity,
    /// The local address of its outgoing connections.
    pub source: IpAddr,
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for other proxies.
    pub peers: TcpListener,
    /// The listener for operators.
    pub admin: TcpListener,
    /// The platform's services.
    pub platform: Client,
    /// Limits on callers.
    pub rules: pg::Rules,
    /// Receives the proxy's status at each change.
    pub status: Sender<Status>,
}

/// Runs a proxy on this thread until a planned stop is complete. `stop` or the platform's list
/// starts the planned stop.
pub async fn run(setup: Setup, stop: impl Future<Output = ()> + 'static) {
    let vm = setup.identity.vm.clone();
    let platform = Rc::new(setup.platform);
    let shell = Shell::start(setup.identity, setup.source, setup.status);
    shell.peers().listen(setup.peers);
    let operators = admin::serve(setup.admin, Rc::clone(&shell), Rc::clone(&platform));
    let tasks = [
        actix_rt::spawn(operators),
        actix_rt::spawn(watch_platform(Rc::clone(&shell), platform, vm)),
    ];
    let acceptor = actix_rt::spawn(admit(Rc::clone(&shell), setup.callers, setup.rules));
    tokio::select! {
        () = stop => shell.input(Input::Stop),
        () = shell.until(|status| status.stopping) => {}
    }
    log::info!("stopping: no new callers, what is in flight finishes");
    acceptor.abort();
    shell.dismiss();
    shell.stopped().await;
    tasks.iter().for_each(|task| task.abort());
    log::info!("stopped");
}

/// Accepts callers once the configuration and the list of VMs are available. Before that, a VM
/// that has just started would refuse its callers because no pool serves them.
async fn admit(shell: Rc<Shell>, listener: TcpListener, rules: pg::Rules) {
    shell.until(|status| status.ready).await;
    pg::serve(listener, shell.for_callers(), rules).await;
}

async fn watch_platform(shell: Rc<Shell>, platform: Rc<Client>, vm: VmId) {
    let version = || shell.status().version;
    watch::run(&platform, Pace::default(), version, |event| match event {
        Event::Config(accepted) => enforce(&shell, accepted),
        Event::Members(listed) => apply_members(&shell, &vm, listed),
        Event::Lost(error) => {
            log::warn!("the platform does not answer, what is in force stays: {error}");
        }
        Event::Back => log::info!("the platform answers again"),
    })
    .await;
}

/// Puts `accepted` in force on this proxy, which sends it to the others.
pub fn enforce(shell: &Shell, accepted: Accepted) {
    log::info!(version:% = accepted.version; "configuration learned");
    shell.input(Input::Accepted(Arc::new(accepted)));
}

fn apply_members(shell: &Shell, vm: &VmId, listed: Listed) {
    let addresses = listed
        .members
        .iter()
        .map(|member| (member.vm.clone(), member.address));
    shell.peers().set_addresses(addresses);
    let leaving = listed
        .members
        .iter()
        .any(|member| member.vm == *vm && member.leaving);
    shell.input(Input::Members(listed.members));
    if leaving {
        shell.input(Input::Stop);
    }
}
