//! The HTTP endpoints of a VM, for the balancer, operators and metrics scrapers.

use super::Vm;
use crate::admission::tokens;
use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::lead::Lead;
use crate::direct::meter::{LeadLevel, Levels};
use crate::direct::view::View;
use crate::logs;
use crate::net::http::{Call, Reply};
use crate::process;
use crate::types::{GroupId, OrganisationId, Version};
use ::http::StatusCode;
use serde::Serialize;
use std::collections::BTreeMap;
use std::future::{Ready, ready as at_once};
use std::rc::Rc;

/// Answers the balancer's readiness check, on any path.
pub fn ready(vm: Rc<Vm>) -> impl Fn(Call) -> Ready<Reply> {
    move |_| {
        let reply = if vm.is_ready() {
            Reply::new(StatusCode::OK, "ready\n")
        } else {
            Reply::new(StatusCode::SERVICE_UNAVAILABLE, "not ready, or stopping\n")
        };
        at_once(reply)
    }
}

/// Serves `/metrics` and `/dump`.
pub fn operators(vm: Rc<Vm>) -> impl Fn(Call) -> Ready<Reply> {
    move |call| {
        let reply = match &*call.path {
            "/metrics" => Reply::new(StatusCode::OK, vm.metrics()),
            "/dump" => vm.dump(),
            _ => Reply::new(StatusCode::NOT_FOUND, "ask for /metrics or /dump\n"),
        };
        at_once(reply)
    }
}

/// The state of a VM, as a dump shows it.
#[derive(Debug, Serialize)]
struct State {
    ready: bool,
    stopping: bool,
    callers: u32,
    version: Option<Version>,
    databases: Vec<Database>,
    leads: Vec<(GroupId, Lead)>,
    /// The organisations whose allocator this VM has been.
    allowances: BTreeMap<OrganisationId, tokens::State>,
}

fn lead(view: &View, group: &GroupId, now: Time) -> Option<LeadLevel> {
    let (lead, read_at) = view.leases.known(group)?;
    let lease = view.leases.lease(group, now);
    Some(LeadLevel {
        group: group.clone(),
        epoch: lead.epoch,
        age: now.since(read_at),
        lease: lease.map_or(Span::ZERO, |lease| lease.until.since(now)),
    })
}

impl Vm {
    fn is_ready(&self) -> bool {
        self.control.is_ready() && !self.shared.get().stopping
    }

    fn dump(&self) -> Reply {
        let view = self.shared.get();
        let known = |group: &GroupId| {
            let (lead, _) = view.leases.known(group)?;
            Some((group.clone(), lead.clone()))
        };
        let state = State {
            ready: self.control.is_ready(),
            stopping: view.stopping,
            callers: self.callers.get(),
            version: view.config.as_ref().map(|config| config.version),
            databases: view.databases.values().cloned().collect(),
            leads: view.leases.groups().filter_map(known).collect(),
            allowances: self.front.runner.targets().quotas.states(),
        };
        match serde_json::to_string_pretty(&state) {
            Ok(text) => Reply::new(StatusCode::OK, text),
            Err(error) => Reply::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn metrics(&self) -> String {
        let now = self.front.now();
        let view = self.shared.get();
        let summary = self.control.summary();
        let leads: Vec<LeadLevel> = view
            .leases
            .groups()
            .filter_map(|g| lead(&view, g, now))
            .collect();
        let (queued, queued_longest) = self.front.runner.targets().queued();
        let levels = Levels {
            ready: self.control.is_ready() && !view.stopping,
            callers: self.callers.get().into(),
            config: view.config.as_ref().map_or(0, |config| config.version.0),
            config_known: summary.config.0,
            relayed: self.control.counts().relayed,
            leases: leads.iter().filter(|lead| lead.lease > Span::ZERO).count() as u64,
            steward: summary.steward,
            token: summary.token,
            heard: summary.steward_age.unwrap_or_default(),
            members: summary.members as u64,
            register_age: summary.register_age.unwrap_or_default(),
            leads,
            resident: process::resident().unwrap_or_default(),
            processor: process::cpu_time().map_or(0, |used| used.as_micros() as u64),
            queued,
            queued_longest,
            logs_dropped: logs::dropped(),
        };
        self.shared.meter.text(&levels).into()
    }
}
