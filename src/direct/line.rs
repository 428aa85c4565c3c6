//! The log lines of requests and sessions, with the state that this VM knew at the time.

use crate::clock::Span;
use crate::direct::config::Route;
use crate::direct::front::Front;
use crate::direct::identity::Key;
use crate::direct::lead::Epoch;
use crate::direct::quota::Standing;
use crate::direct::statement::{Answer, End};
use crate::direct::trace::{Operation, Reason, Shown, Steps, clip};

/// The target of lines of served requests. It has a line budget of its own, so that they never use up that of
/// the others.
const SERVED_TARGET: &str = "lentilspoke::direct::served";

/// A request that was answered.
#[derive(Debug, Clone, Copy)]
pub struct Ended<'a> {
    /// The database name that its caller used.
    pub host: &'a str,
    /// The route, if there is one.
    pub route: Option<&'a Route>,
    /// The operation that it belongs to.
    pub operation: &'a Operation,
    /// The steps that it took.
    pub steps: &'a Steps,
    /// The answer to its caller.
    pub answer: &'a Answer,
}

/// The state of a group as this VM knows it.
#[derive(Debug, Default)]
struct Snapshot {
    version: Option<u64>,
    primary: Option<String>,
    epoch: Option<Epoch>,
    lead_age: Option<u64>,
    lease: Option<u64>,
    position: Option<String>,
    position_age: Option<u64>,
}

fn millis(span: Span) -> u64 {
    span.0 / 1_000
}

fn snapshot(front: &Front, route: Option<&Route>) -> Snapshot {
    let now = front.now();
    let view = front.shared.get();
    let version = view.config.as_ref().map(|config| config.version.0);
    let Some(group) = route.map(|route| &route.group) else {
        return Snapshot {
            version,
            ..Snapshot::default()
        };
    };
    let lead = view.leases.known(group);
    let lease = view.leases.lease(group, now);
    let newest = view.fresh.newest(group);
    Snapshot {
        version,
        primary: lead.map(|(lead, _)| lead.primary.to_string()),
        epoch: lead.map(|(lead, _)| lead.epoch),
        lead_age: lead.map(|(_, asked)| millis(now.since(asked))),
        lease: lease.map(|lease| millis(lease.until.since(now))),
        position: newest.map(|(position, _)| position.to_string()),
        position_age: newest.map(|(_, asked)| millis(now.since(asked))),
    }
}

/// Writes the line of a request that was answered.
pub fn ended(front: &Front, reason: Reason, ended: &Ended<'_>) {
    let Ended { answer, .. } = ended;
    match (reason, &answer.end) {
        (Reason::NotServed, End::Error { code, text }) => {
            let own = ended.steps.ended != Some("answered");
            let message = if own {
                &**text
            } else {
                "the database refused it"
            };
            let outcome = format!("{code:?}");
            write(front, module_path!(), ended, message, &outcome);
        }
        (Reason::Late, _) => write(front, SERVED_TARGET, ended, "served late", "Done"),
        _ => write(front, SERVED_TARGET, ended, "served, an example", "Done"),
    }
}

fn write(front: &Front, target: &str, ended: &Ended<'_>, message: &str, outcome: &str) {
    let Ended {
        operation, steps, ..
    } = ended;
    let snapshot = snapshot(front, ended.route);
    // Writes the pairs of each line, and further ones behind them.
    macro_rules! line {
        ($($key:ident = $value:expr),*) => {
            log::info!(
                target: target,
                request:% = operation.request,
                operation:% = operation.id,
                route:% = clip(ended.host),
                group:% = Shown(ended.route.map(|route| &route.group)),
                database:% = Shown(steps.database.as_ref()),
                owner:% = Shown(steps.owner),
                outcome,
                primary:% = Shown(snapshot.primary.as_ref()),
                epoch:% = Shown(steps.epoch.or(snapshot.epoch)),
                lead_age_ms:% = Shown(snapshot.lead_age),
                lease_ms:% = Shown(snapshot.lease),
                position:% = Shown(snapshot.position.as_ref()),
                position_age_ms:% = Shown(snapshot.position_age),
                tries = steps.tries,
                last:% = Shown(steps.ended),
                queue_ms = millis(steps.queued),
                no_primary_ms = millis(steps.without_primary),
                took_ms = millis(front.now().since(operation.arrived)),
                spent_ms = millis(operation.spent()),
                version:% = Shown(snapshot.version)
                $(, $key = $value)*;
                "{message}"
            )
        };
    }
    match steps.standing {
        Some(Standing { rank, ahead, wait }) => {
            line!(rank = rank.0, ahead = ahead, wait_ms = millis(wait));
        }
        None => line!(),
    }
}

/// Writes the line of a caller that used a database name without a route. There is no request yet.
pub fn no_route(front: &Front, host: &str) {
    let version = front.config().map(|config| config.version.0);
    log::info!(
        route:% = clip(host), version:% = Shown(version), outcome = "NoDatabase";
        "a session is refused: no route has that name"
    );
}

/// Writes the line of a caller that connected before any configuration was known.
pub fn no_config(host: &str) {
    log::info!(
        route:% = clip(host), outcome = "Busy";
        "a session is refused: no configuration is known yet"
    );
}

/// Writes the line of a caller whose key no organisation holds.
pub fn no_key(front: &Front, host: &str, key: Option<&Key>) {
    let version = front.config().map(|config| config.version.0);
    log::info!(
        route:% = clip(host), key:% = Shown(key), version:% = Shown(version), outcome = "NoKey";
        "a session is refused: nobody holds its key"
    );
}

/// Writes the line of a session that was not ended by its caller.
pub fn session_ends(front: &Front, why: &str, host: &str, operation: &Operation) {
    if operation.request.is_empty() {
        return;
    }
    log::info!(
        target: "lentilspoke::direct::session",
        request:% = operation.request,
        operation:% = operation.id,
        route:% = clip(host),
        since_ms = millis(front.now().since(operation.arrived));
        "{why}"
    );
}
