//! The platform's services in one thread of this process: a table with compare-and-set, an
//! object store, and a delayed list of VMs. Faults are injected by method calls.

use crate::clock::Span;
use crate::core::member::Member;
use crate::net::platform::{Answer, Call, Listed, Row};
use crate::net::rpc;
use crate::types::{Version, VmId};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Status;
use tonic::transport::Server;

/// Starts stand-in platforms.
#[derive(Debug)]
pub struct Platform;

/// Controls a running platform. Each call takes effect immediately.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

/// How the platform answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Health {
    /// Immediately.
    #[default]
    Well,
    /// After this long.
    Slow(Span),
    /// With an error.
    Down,
    /// Not at all.
    Silent,
}

/// The number of calls that the platform has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Reads of rows, objects and the list.
    pub reads: u64,
    /// Writes of rows and objects.
    pub writes: u64,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    health: watch::Sender<Health>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Box<str>, Row>,
    objects: BTreeMap<Box<str>, Bytes>,
    members: Vec<Member>,
    /// The versions of the list, oldest first, each with the time from which it was current.
    lists: Vec<(Instant, Listed)>,
    list_lag: Duration,
    lost_answers: u32,
    count: Count,
}

impl Platform {
    /// Listens on `address`; port 0 selects a free port. Returns an error if the address can't be bound
    /// or the thread can't be started.
    pub fn start(address: SocketAddr) -> io::Result<Handle> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            health: watch::Sender::default(),
        });
        let (stop, stopped) = watch::channel(false);
        let serving = shared.clone();
        let thread = std::thread::Builder::new()
            .name("standin-platform".into())
            .spawn(move || {
                actix_rt::System::new().block_on(serve(serving, listener, stopped));
            })?;
        Ok(Handle {
            address,
            shared,
            stop,
            thread: Some(thread),
        })
    }
}

async fn serve(shared: Arc<Shared>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return log::error!(error:% = error; "stand-in platform can't listen"),
    };
    let service = rpc::unary(move |call| answer(shared.clone(), call));
    let server = Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    tokio::select! {
        result = server => if let Err(error) = result {
            log::error!(error:% = error; "stand-in platform ended");
        },
        _ = stopped.wait_for(|stopped| *stopped) => {}
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Result<Answer, Status> {
    let health = *shared.health.borrow();
    match health {
        Health::Well => {}
        Health::Slow(span) => tokio::time::sleep(span.into()).await,
        Health::Down => return Err(Status::unavailable("the platform is down")),
        Health::Silent => {
            let mut changes = shared.health.subscribe();
            let _ = changes.wait_for(|health| *health != Health::Silent).await;
            return Err(Status::unavailable("the platform was silent"));
        }
    }
    shared.lock().handle(call)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn handle(&mut self, call: Call) -> Result<Answer, Status> {
        match call {
            Call::Read { key, known } => Ok(self.read(&key, known)),
            Call::List(known) => Ok(self.list(known)),
            Call::Fetch(name) => {
                self.count.reads += 1;
                Ok(Answer::Object(self.objects.get(&name).cloned()))
            }
            Call::Store { name, bytes } => {
                self.objects.insert(name, bytes);
                self.written(Answer::Done)
            }
            Call::Remove(name) => {
                self.objects.remove(&name);
                self.written(Answer::Done)
            }
            Call::Write {
                key,
                expected,
                value,
            } => {
                let answer = self.write(key, expected, value);
                self.written(answer)
            }
        }
    }

    fn read(&mut self, key: &str, known: Version) -> Answer {
        self.count.reads += 1;
        let row = self.rows.get(key).cloned().unwrap_or_default();
        match row.version == known {
            true => Answer::Unchanged,
            false => Answer::Row(row),
        }
    }

    fn write(&mut self, key: Box<str>, expected: Version, value: Bytes) -> Answer {
        let row = self.rows.entry(key).or_default();
        if row.version != expected {
            return Answer::Row(row.clone());
        }
        row.version = expected.next();
        row.value = value;
        Answer::Written(row.version)
    }

    /// Counts a write that has taken effect, and drops its answer if that fault is set.
    fn written(&mut self, answer: Answer) -> Result<Answer, Status> {
        self.count.writes += 1;
        if self.lost_answers > 0 && matches!(answer, Answer::Written(_) | Answer::Row(_)) {
            self.lost_answers -= 1;
            return Err(Status::unavailable("the answer was lost"));
        }
        Ok(answer)
    }

    fn list(&mut self, known: Version) -> Answer {
        self.count.reads += 1;
        let now = Instant::now();
        let current = self
            .lists
            .iter()
            .rev()
            .find(|(since, _)| *since + self.list_lag <= now)
            .or(self.lists.first());
        match current {
            Some((_, listed)) if listed.version != known => Answer::Members(listed.clone()),
            _ => Answer::Unchanged,
        }
    }

    fn change_members(&mut self, change: impl FnOnce(&mut Vec<Member>)) {
        const MAX_LISTS: usize = 1_000;
        change(&mut self.members);
        let version = self
            .lists
            .last()
            .map_or(Version(0), |(_, last)| last.version);
        let listed = Listed {
            version: version.next(),
            members: self.members.clone(),
        };
        self.lists.push((Instant::now(), listed));
        if self.lists.len() > MAX_LISTS {
            self.lists.remove(0);
        }
    }
}

impl Handle {
    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it answers calls from now on.
    pub fn set_health(&self, health: Health) {
        self.shared.health.send_replace(health);
    }

    /// Drops the answers to the next `count` writes of rows after the writes have taken effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared.lock().lost_answers = count;
    }

    /// Sets the delay of the list of VMs.
    pub fn set_list_lag(&self, lag: Span) {
        self.shared.lock().list_lag = lag.into();
    }

    /// Adds a VM to the list, or replaces the VM with the same name.
    pub fn join(&self, member: Member) {
        self.shared.lock().change_members(|members| {
            members.retain(|other| other.vm != member.vm);
            members.push(member);
        });
    }

    /// Marks a VM as leaving.
    pub fn leave(&self, vm: &VmId) {
        self.shared.lock().change_members(|members| {
            let marked = members.iter_mut().filter(|member| member.vm == *vm);
            marked.for_each(|member| member.leaving = true);
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, vm: &VmId) {
        let gone = |members: &mut Vec<Member>| members.retain(|member| member.vm != *vm);
        self.shared.lock().change_members(gone);
    }

    /// Returns the number of calls so far.
    pub fn count(&self) -> Count {
        self.shared.lock().count
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.shared.health.send_replace(Health::Down);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
