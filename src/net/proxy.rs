//! One proxy: its listeners, its core, and where its news comes from.

use crate::config::Accepted;
use crate::core::member::Member;
use crate::core::node::{Identity, Input};
use crate::net::shell::Shell;
use crate::net::{admin, pg};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// What the platform tells a proxy.
#[derive(Debug, Clone)]
pub enum News {
    /// The list of VMs.
    Members(Vec<Member>),
    /// The configuration in force.
    Accepted(Arc<Accepted>),
    /// The process is asked to stop.
    Stop,
}

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
    /// Limits on callers.
    pub rules: pg::Rules,
}

/// Runs a proxy on this thread until its planned stop has nothing left to do.
pub async fn run(setup: Setup, mut news: mpsc::UnboundedReceiver<News>) {
    let shell = Shell::start(setup.identity, setup.source);
    shell.peers().listen(setup.peers);
    let door = actix_rt::spawn(pg::serve(setup.callers, shell.for_callers(), setup.rules));
    actix_rt::spawn(admin::serve(setup.admin, Rc::clone(&shell)));
    let listener = Rc::clone(&shell);
    actix_rt::spawn(async move {
        while let Some(news) = news.recv().await {
            if matches!(news, News::Stop) {
                door.abort();
            }
            learn(&listener, news);
        }
    });
    shell.stopped().await;
}

fn learn(shell: &Shell, news: News) {
    match news {
        News::Members(members) => {
            let addresses = members
                .iter()
                .map(|member| (member.vm.clone(), member.address));
            shell.peers().learn(addresses);
            shell.input(Input::Members(members));
        }
        News::Accepted(accepted) => shell.input(Input::Accepted(accepted)),
        News::Stop => shell.input(Input::Stop),
    }
}
