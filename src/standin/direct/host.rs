//! A simulated process on virtual time: a set of tasks that can be frozen and killed together.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Once;
use std::task::{Context, Poll, Waker};
use tokio::task::LocalSet;
use tokio::time::Instant;

thread_local! {
    /// The name of the process that runs now.
    static CURRENT: RefCell<Rc<str>> = RefCell::new(Rc::from("-"));
    /// How often this thread panicked.
    static PANICS: Cell<u64> = const { Cell::new(0) };
    /// When the simulation began.
    static STARTED: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Counts panics of this thread from the first call on. A panic in a task ends only that task,
/// without an error elsewhere: the simulation would go on as if a VM had only fallen silent.
pub fn panics() -> u64 {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.set(PANICS.get() + 1);
            previous(info);
        }));
    });
    PANICS.get()
}

/// The prefix of log lines: the milliseconds since the simulation began, and the running process.
pub fn log_prefix() -> String {
    let started = STARTED
        .get()
        .map_or(0, |started| started.elapsed().as_millis());
    CURRENT.with_borrow(|name| format!("{started} {name} "))
}

/// Controls a running process.
#[derive(Debug)]
pub struct Host {
    name: Rc<str>,
    frozen: Cell<bool>,
    killed: Cell<bool>,
    starved: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The process as a future, which the code that starts it has to poll.
#[derive(Debug)]
pub struct Process {
    tasks: Option<LocalSet>,
    host: Rc<Host>,
}

impl Host {
    /// Creates a process with one first task, which may start more by `spawn_local`.
    pub fn start(name: &str, first: impl Future<Output = ()> + 'static) -> (Rc<Host>, Process) {
        let host = Rc::new(Host {
            name: name.into(),
            frozen: Cell::default(),
            killed: Cell::default(),
            starved: Cell::default(),
            waker: RefCell::default(),
        });
        let tasks = LocalSet::new();
        tasks.spawn_local(first);
        let process = Process {
            tasks: Some(tasks),
            host: host.clone(),
        };
        (host, process)
    }

    /// Suspends or resumes the process. Timers that are due by then fire when it resumes.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.wake();
    }

    /// Marks the process as one that is suspended and resumed in turns, or ends that.
    pub fn starve(&self, starved: bool) {
        self.starved.set(starved);
        self.freeze(false);
    }

    /// Whether it is being suspended and resumed in turns.
    pub fn is_starved(&self) -> bool {
        self.starved.get() && !self.killed.get()
    }

    /// Ends the process at once, in the middle of whatever it does.
    pub fn kill(&self) {
        self.killed.set(true);
        self.wake();
    }

    /// Whether it was killed.
    pub fn is_killed(&self) -> bool {
        self.killed.get()
    }

    /// Whether it is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen.get()
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl Future for Process {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let host = self.host.clone();
        *host.waker.borrow_mut() = Some(context.waker().clone());
        if !self.host.killed.get() && !self.host.frozen.get() {
            let Some(tasks) = &mut self.tasks else {
                return Poll::Ready(());
            };
            let before = CURRENT.replace(host.name.clone());
            let ended = Pin::new(tasks).poll(context).is_ready();
            CURRENT.set(before);
            if ended {
                self.host.killed.set(true);
            }
        }
        if !self.host.killed.get() {
            return Poll::Pending;
        }
        self.tasks = None;
        Poll::Ready(())
    }
}

/// Runs a future and all tasks that it spawns locally on a paused clock, which advances from timer
/// to timer.
pub fn simulate<T>(future: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let tasks = LocalSet::new();
    let simulation = async {
        STARTED.set(Some(Instant::now()));
        future.await
    };
    Ok(tasks.block_on(&runtime, simulation))
}
