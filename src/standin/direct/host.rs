//! A process on virtual time: tasks that can be frozen and killed together.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Once;
use std::task::{Context, Poll, Waker};
use tokio::task::LocalSet;
use tokio::time::Instant;

thread_local! {
    /// The process that runs now.
    static CURRENT: RefCell<Rc<str>> = RefCell::new(Rc::from("-"));
    /// How often this thread panicked.
    static PANICS: Cell<u64> = const { Cell::new(0) };
    /// When the world began.
    static BEGAN: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Counts panics of this thread from the first call on: a task that panics ends without a word, and
/// the world would go on as if a VM had only fallen silent.
pub fn panics() -> u64 {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let shown = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.set(PANICS.get() + 1);
            shown(info);
        }));
    });
    PANICS.get()
}

/// What logs begin with: the milliseconds since the world began, and the process that runs.
pub fn log_prefix() -> String {
    let began = BEGAN.get().map_or(0, |began| began.elapsed().as_millis());
    CURRENT.with_borrow(|name| format!("{began} {name} "))
}

/// Handles a running process.
#[derive(Debug)]
pub struct Host {
    name: Rc<str>,
    frozen: Cell<bool>,
    killed: Cell<bool>,
    starved: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// The process itself, which whoever started it has to drive.
#[derive(Debug)]
pub struct Process {
    tasks: Option<LocalSet>,
    host: Rc<Host>,
}

impl Host {
    /// A process of one first task, which may start more by `spawn_local`.
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

    /// Stops or goes on running the process. Its timers go off when it wakes.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.wake();
    }

    /// Lets the process run and stop by turns until it is told not to.
    pub fn starve(&self, starved: bool) {
        self.starved.set(starved);
        self.freeze(false);
    }

    /// Whether it runs and stops by turns.
    pub fn is_starved(&self) -> bool {
        self.starved.get() && !self.killed.get()
    }

    /// Ends the process at once, in the midst of what it does.
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

/// Plays a future and all that it spawns locally, on a clock of its own that jumps from timer to
/// timer.
pub fn play<T>(future: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let tasks = LocalSet::new();
    let begun = async {
        BEGAN.set(Some(Instant::now()));
        future.await
    };
    Ok(tasks.block_on(&runtime, begun))
}
