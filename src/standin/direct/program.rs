//! The program of each VM: the front and the control path, assembled as in the real process.

use crate::clock::Span;
use crate::direct::adapter::LocalFuture;
use crate::direct::control::{Control, Setup};
use crate::direct::front::{Front, Location};
use crate::direct::relay::serve::Relay;
use crate::direct::view::Shared;
use crate::standin::direct::machine::{Machine, Program};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often the load balancer checks whether the VM is ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);

/// How much of the grace period is left when the process ends.
const RESERVED_GRACE: Span = Span::from_millis(500);

/// Returns the program.
pub fn program() -> Program {
    Rc::new(|machine| Box::pin(run(machine)) as LocalFuture<()>)
}

async fn run(machine: Machine) {
    let shared = Rc::new(Shared::default());
    let control = Control::start(Setup {
        adapter: machine.adapter.clone(),
        shared: shared.clone(),
        call: machine.call.0,
        vm: machine.vm,
        life: machine.life,
        domain: machine.domain.clone(),
        cores: machine.cores,
        address: machine.address,
        relay: Some(machine.relay),
        seeds: machine.seeds,
    });
    let location = Location {
        domain: machine.domain,
        relay: Some(machine.relay),
        regions: machine.regions,
    };
    let front = Front::new(machine.adapter, shared.clone(), location);
    let (asked, mut questions) = (control.clone(), machine.questions);
    actix_rt::spawn(async move {
        while let Some((question, reply)) = questions.recv().await {
            let answer = asked.answer(question);
            actix_rt::spawn(async move { drop(reply.send(answer.await)) });
        }
    });
    let (served, mut streams) = (front.clone(), machine.streams);
    actix_rt::spawn(async move {
        while let Some(stream) = streams.recv().await {
            actix_rt::spawn(served.clone().serve_stream(Box::new(stream)));
        }
    });
    let relay = Relay::new(front.runner.targets().clone());
    let (relayed, mut relays) = (relay.clone(), machine.relays);
    actix_rt::spawn(async move {
        while let Some(stream) = relays.recv().await {
            actix_rt::spawn(relayed.clone().serve_stream(Box::new(stream)));
        }
    });
    let (asked, ready) = (control.clone(), machine.ready.clone());
    actix_rt::spawn(async move {
        loop {
            ready.set(asked.is_ready());
            sleep(READY_INTERVAL).await;
        }
    });
    let Ok(grace) = machine.stop.await else {
        return;
    };
    shared.modify(|view| view.stopping = true);
    let grace = Span(grace.0.saturating_sub(RESERVED_GRACE.0));
    let served = async {
        tokio::join!(front.stop(grace), relay.stop(grace));
    };
    let all = control.stop(served);
    // Connections that are still open after the grace are closed by the kill that follows.
    let _ = timeout(grace.into(), all).await;
}
