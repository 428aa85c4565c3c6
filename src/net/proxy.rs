//! One proxy: its listeners, its core, and where its news comes from.

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

/// All that a proxy needs from outside.
#[derive(Debug)]
pub struct Setup {
    /// Who it is.
    pub identity: Identity,
    /// The address that its connections to others come from.
    pub source: IpAddr,
    /// Where callers connect.
    pub callers: TcpListener,
    /// Where other proxies connect.
    pub peers: TcpListener,
    /// Where operators connect.
    pub admin: TcpListener,
    /// The platform's services.
    pub platform: Client,
    /// Limits on callers.
    pub rules: pg::Rules,
    /// Follows what the proxy is in.
    pub status: Sender<Status>,
}

/// Runs a proxy on this thread until a planned stop, asked for by `stop` or by the platform's
/// list, has nothing left to do.
pub async fn run(setup: Setup, stop: impl Future<Output = ()> + 'static) {
    let vm = setup.identity.vm.clone();
    let platform = Rc::new(setup.platform);
    let shell = Shell::start(setup.identity, setup.source, setup.status);
    shell.peers().listen(setup.peers);
    let operators = admin::serve(setup.admin, Rc::clone(&shell), Rc::clone(&platform));
    let tasks = [
        actix_rt::spawn(operators),
        actix_rt::spawn(follow(Rc::clone(&shell), platform, vm)),
    ];
    let door = actix_rt::spawn(admit(Rc::clone(&shell), setup.callers, setup.rules));
    tokio::select! {
        () = stop => shell.input(Input::Stop),
        () = shell.until(|status| status.stopping) => {}
    }
    log::info!("stopping: no new callers, what is in flight finishes");
    door.abort();
    shell.dismiss();
    shell.stopped().await;
    tasks.iter().for_each(|task| task.abort());
    log::info!("stopped");
}

/// Accepts callers, once there are a configuration and a list of VMs by which to serve them: a
/// caller of a VM that has just started would be told that no pool serves it.
async fn admit(shell: Rc<Shell>, listener: TcpListener, rules: pg::Rules) {
    shell.until(|status| status.ready).await;
    pg::serve(listener, shell.for_callers(), rules).await;
}

async fn follow(shell: Rc<Shell>, platform: Rc<Client>, vm: VmId) {
    let version = || shell.status().version;
    watch::run(&platform, Pace::default(), version, |event| match event {
        Event::Config(accepted) => enforce(&shell, accepted),
        Event::Members(listed) => learn(&shell, &vm, listed),
        Event::Lost(error) => {
            log::warn!("the platform does not answer, what is in force stays: {error}");
        }
        Event::Back => log::info!("the platform answers again"),
    })
    .await;
}

/// Puts `accepted` in force on this proxy, which spreads it to others.
pub fn enforce(shell: &Shell, accepted: Accepted) {
    log::info!(version:% = accepted.version; "configuration learned");
    shell.input(Input::Accepted(Arc::new(accepted)));
}

fn learn(shell: &Shell, vm: &VmId, listed: Listed) {
    let addresses = listed
        .members
        .iter()
        .map(|member| (member.vm.clone(), member.address));
    shell.peers().learn(addresses);
    let leaving = listed
        .members
        .iter()
        .any(|member| member.vm == *vm && member.leaving);
    shell.input(Input::Members(listed.members));
    if leaving {
        shell.input(Input::Stop);
    }
}
