//! The admin endpoints of a process, for operators and metrics scrapers.

use crate::net::http::{self, Call, Reply};
use crate::net::metrics::{self, Gauges};
use crate::net::platform::{Client, apply};
use crate::net::proxy;
use crate::net::shell::Shell;
use crate::process;
use ::http::{Method, StatusCode};
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// How long a request that applies a configuration waits for it to reach other proxies.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves `/metrics`, `/dump`, `/config` and `/ready` until it is dropped.
pub async fn serve(listener: TcpListener, shell: Rc<Shell>, platform: Rc<Client>) {
    http::serve(listener, move |call| {
        let (shell, platform) = (Rc::clone(&shell), Rc::clone(&platform));
        async move {
            match (&call.method, &*call.path) {
                (&Method::POST, apply::PATH) => propose(&shell, &platform, &call).await,
                _ => answer(&shell, &call),
            }
        }
    })
    .await;
}

/// Applies an operator's document, and sends it to other proxies before it answers.
async fn propose(shell: &Shell, platform: &Client, call: &Call) -> Reply {
    apply::serve(platform, &call.body, |accepted| async move {
        proxy::enforce(shell, accepted);
        shell.peers().flushed(PROPAGATION_TIMEOUT).await;
    })
    .await
}

fn answer(shell: &Shell, call: &Call) -> Reply {
    match (&call.method, &*call.path) {
        (&Method::GET, "/metrics") => Reply::new(StatusCode::OK, text(shell).into_string()),
        (&Method::GET, "/dump") => shell.inspect(|node| json(&node.state())),
        (&Method::GET, "/config") => shell.inspect(|node| json(&node.accepted())),
        (&Method::GET, "/ready") => ready(shell),
        _ => Reply::new(
            StatusCode::NOT_FOUND,
            "ask for /metrics, /dump, /config or /ready\n",
        ),
    }
}

/// Ready means that a caller who connects now can be served. The platform's balancer sends no callers
/// before that, nor after a planned stop has begun.
fn ready(shell: &Shell) -> Reply {
    let status = shell.status();
    if status.ready && !status.stopping {
        Reply::new(StatusCode::OK, "ready\n")
    } else {
        Reply::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration or no list of VMs yet, or stopping\n",
        )
    }
}

fn text(shell: &Shell) -> Box<str> {
    let gauges = Gauges {
        callers: shell.callers() as u64,
        peers: shell.peers().open() as u64,
        version: shell.status().version.0,
        resident: process::resident().unwrap_or_default(),
        processor: process::cpu_time().map_or(0, |time| time.as_micros() as u64),
    };
    metrics::text(shell.inspect(|node| node.counters().clone()), gauges)
}

fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_string_pretty(value) {
        Ok(text) => Reply::new(StatusCode::OK, text),
        Err(error) => Reply::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
