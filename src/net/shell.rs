//! Connects a core to the sockets and timers of its process.

use crate::clock::{Span, Time};
use crate::core::member::Identity;
use crate::core::node::{Input, Node};
use crate::core::output::Output;
use crate::net::peer::{self, Peers};
use crate::net::pg::{self, Signal};
use crate::net::target::Targets;
use crate::types::{Link, Version};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// A proxy's core and all its connections.
#[derive(Debug)]
pub struct Shell {
    origin: Instant,
    node: RefCell<Node>,
    links: RefCell<HashMap<Link, mpsc::UnboundedSender<Signal>>>,
    last_link: Cell<u64>,
    dismissing: Cell<bool>,
    targets: Targets,
    peers: Rc<Peers>,
    /// When the timer fires.
    armed: Cell<Option<Time>>,
    rearmed: Notify,
    status: watch::Sender<Status>,
    stopped: watch::Sender<bool>,
}

/// The state of a proxy that other tasks wait on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Status {
    /// The version of the configuration in force.
    pub version: Version,
    /// Whether callers can be served.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl Status {
    fn of(node: &Node) -> Self {
        Self {
            version: node.accepted().map_or(Version(0), |found| found.version),
            ready: node.is_ready(),
            stopping: node.is_stopping(),
        }
    }
}

impl Shell {
    /// Starts a core without configuration or members; `status` receives its status changes.
    pub fn start(
        identity: Identity,
        source: std::net::IpAddr,
        status: watch::Sender<Status>,
    ) -> Rc<Self> {
        let (target_events, from_targets) = mpsc::unbounded_channel();
        let (peer_events, from_peers) = mpsc::unbounded_channel();
        let peer_identity = peer::Identity {
            vm: identity.vm.clone(),
            life: identity.life,
            source,
        };
        let shell = Rc::new(Self {
            origin: Instant::now(),
            node: RefCell::new(Node::new(identity, Time::default())),
            links: RefCell::default(),
            last_link: Cell::new(0),
            dismissing: Cell::new(false),
            targets: Targets::new(source, target_events),
            peers: Peers::new(peer_identity, peer_events),
            armed: Cell::new(None),
            rearmed: Notify::new(),
            status,
            stopped: watch::Sender::new(false),
        });
        actix_rt::spawn(forward_targets(Rc::clone(&shell), from_targets));
        actix_rt::spawn(forward_peers(Rc::clone(&shell), from_peers));
        actix_rt::spawn(tick(Rc::clone(&shell)));
        shell
    }

    /// The time on this process's clock.
    pub fn now(&self) -> Time {
        Time::default() + Span::from(self.origin.elapsed())
    }

    /// The streams to other proxies.
    pub fn peers(&self) -> &Rc<Peers> {
        &self.peers
    }

    /// Reads the core through `read`.
    pub fn inspect<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.node.borrow())
    }

    /// Registers a caller's connection: its link, and the receiver of the core's messages to it.
    fn open(&self) -> (Link, mpsc::UnboundedReceiver<Signal>) {
        let link = Link(self.last_link.get() + 1);
        self.last_link.set(link.0);
        let (sender, receiver) = mpsc::unbounded_channel();
        if self.dismissing.get() {
            // The send can't fail: the receiver is still in scope.
            let _ = sender.send(Signal::Dismiss);
        }
        self.links.borrow_mut().insert(link, sender);
        (link, receiver)
    }

    /// Asks every present and future caller's connection to close as soon as it is idle.
    ///
    /// The core doesn't know callers that never sent a statement. Without this they would stay
    /// connected to a stopping proxy, and be cut off during their first statement. Connections
    /// close only between transactions.
    pub fn dismiss(&self) {
        self.dismissing.set(true);
        let links: Vec<Link> = self.links.borrow().keys().copied().collect();
        for link in links {
            self.notify(link, Signal::Dismiss);
        }
    }

    /// Removes a caller's connection that has closed.
    fn depart(&self, link: Link) {
        self.links.borrow_mut().remove(&link);
        self.input(Input::Depart(link));
    }

    /// The number of connected callers.
    pub fn callers(&self) -> usize {
        self.links.borrow().len()
    }

    /// The operations that callers' connections use.
    pub fn for_callers(self: &Rc<Self>) -> pg::Core {
        let shell = || Rc::clone(self);
        let (open, submit, depart, cancel, now, pool) =
            (shell(), shell(), shell(), shell(), shell(), shell());
        pg::Core {
            open: Box::new(move || open.open()),
            submit: Box::new(move |request| submit.input(Input::Submit(request))),
            depart: Box::new(move |link| depart.depart(link)),
            cancel: Box::new(move |link| cancel.input(Input::Cancel(link))),
            now: Box::new(move || now.now()),
            pool: Box::new(move |caller, group| {
                pool.inspect(|node| {
                    let (id, rules) = node.pool_of(caller, group)?;
                    Some(pg::Pool {
                        id,
                        max_age: rules.max_age,
                        patience: rules.patience,
                    })
                })
            }),
        }
    }

    /// The current status of the proxy.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Completes once `wanted` holds for the status.
    pub async fn until(&self, wanted: impl Fn(Status) -> bool) {
        let mut status = self.status.subscribe();
        // The sender lives as long as the shell.
        let _ = status.wait_for(|status| wanted(*status)).await;
    }

    /// Completes once a planned stop is complete.
    pub async fn stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        // The sender lives as long as the shell.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Passes `input` to the core and executes the resulting outputs.
    ///
    /// The clock is read here, after the event was read from its socket, so that a process that
    /// was paused in between decides by the time at which it resumed.
    pub fn input(&self, input: Input) {
        let mut outputs = Vec::new();
        let (wake, status) = {
            let mut node = self.node.borrow_mut();
            node.handle(self.now(), input, &mut outputs);
            (node.wake(), Status::of(&node))
        };
        outputs.into_iter().for_each(|output| self.execute(output));
        self.status
            .send_if_modified(|known| std::mem::replace(known, status) != status);
        self.arm(wake);
    }

    fn execute(&self, output: Output) {
        match output {
            Output::Reply {
                link,
                outcome,
                floor,
            } => {
                self.notify(link, Signal::Outcome { outcome, floor });
            }
            Output::Dismiss(link) => self.notify(link, Signal::Dismiss),
            Output::Send { to, message } => self.peers.send(to, message),
            Output::Database(command) => self.targets.command(command),
            Output::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn notify(&self, link: Link, signal: Signal) {
        if let Some(sender) = self.links.borrow().get(&link) {
            // If the receiver was dropped, the connection is about to report its end.
            let _ = sender.send(signal);
        }
    }

    fn arm(&self, wake: Option<Time>) {
        let sooner = match (wake, self.armed.get()) {
            (Some(wake), Some(armed)) => wake < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if sooner {
            self.armed.set(wake);
            self.rearmed.notify_one();
        }
    }
}

async fn tick(shell: Rc<Shell>) {
    loop {
        let Some(armed) = shell.armed.get() else {
            shell.rearmed.notified().await;
            continue;
        };
        let deadline = shell.origin + std::time::Duration::from_micros(armed.0);
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => {
                shell.armed.set(None);
                shell.input(Input::Tick);
            }
            () = shell.rearmed.notified() => {}
        }
    }
}

async fn forward_targets(
    shell: Rc<Shell>,
    mut events: mpsc::UnboundedReceiver<crate::core::database::Event>,
) {
    while let Some(event) = events.recv().await {
        shell.input(Input::Database(event));
    }
}

async fn forward_peers(shell: Rc<Shell>, mut events: mpsc::UnboundedReceiver<peer::Event>) {
    while let Some(event) = events.recv().await {
        if let peer::Event::Down(vm) = &event {
            shell.peers.confirm_down(vm);
        }
        shell.input(match event {
            peer::Event::Up(vm) => Input::PeerUp(vm),
            peer::Event::Down(vm) => Input::PeerDown(vm),
            peer::Event::Message { from, message } => Input::Message {
                from,
                message: *message,
            },
        });
    }
}
