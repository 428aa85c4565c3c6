//! Helpers that build and submit callers' requests.

use super::{World, id};
use lentilspoke::clock::Span;
use lentilspoke::core::node::Input;
use lentilspoke::core::request::{Kind, Outcome, Request};
use lentilspoke::types::{Link, RequestKey};

impl World {
    /// Submits a request to a proxy; the answer is added to `told`.
    pub fn submit(&mut self, vm: &str, request: Request) {
        self.input(&id(vm), Input::Submit(request));
    }

    pub fn request(&self, link: u64, kind: Kind, body: &str) -> Request {
        Request {
            link: Link(link),
            session: None,
            caller: id("broker"),
            pool: id("safe"),
            group: id("ledger"),
            kind,
            max_age: None,
            key: None::<RequestKey>,
            token_floor: None,
            deadline: self.now + Span::from_secs(5),
            body: body.to_owned().into(),
        }
    }

    pub fn write(&mut self, vm: &str, link: u64, text: &str) {
        let request = self.request(link, Kind::Write, &format!("w {text}"));
        self.submit(vm, request);
    }

    pub fn read(&mut self, vm: &str, link: u64) {
        let request = self.request(link, Kind::Read, "r");
        self.submit(vm, request);
    }

    /// Submits a statement that opens a transaction (`begin`) or belongs to one.
    pub fn say(&mut self, vm: &str, link: u64, body: &str) {
        let kind = if body == "begin" {
            Kind::Begin
        } else {
            Kind::Continue
        };
        let request = self.request(link, kind, body);
        self.submit(vm, request);
    }

    /// Opens a transaction, writes `text` in it, and waits for both answers.
    pub fn begin(&mut self, vm: &str, link: u64, text: &str) {
        self.say(vm, link, "begin");
        self.wait(link, 1);
        self.say(vm, link, &format!("w {text}"));
        self.wait(link, 2);
    }

    pub fn write_as(&mut self, vm: &str, link: u64, session: &str, text: &str) {
        let mut request = self.request(link, Kind::Write, &format!("w {text}"));
        request.session = Some(id(session));
        self.submit(vm, request);
    }

    pub fn read_as(&mut self, vm: &str, link: u64, session: &str) {
        let mut request = self.request(link, Kind::Read, "r");
        request.session = Some(id(session));
        self.submit(vm, request);
    }
}

/// Describes an outcome briefly.
pub fn short(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done(done) => {
            let by = if done.replica { "replica" } else { "primary" };
            format!("done by {by}: {}", String::from_utf8_lossy(&done.body))
        }
        Outcome::NotRun(not_run) => format!("not run: {:?}", not_run.cause),
        Outcome::Unknown(unknown) => format!("unknown: {unknown:?}"),
    }
}
