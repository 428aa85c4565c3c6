//! What a VM's program is given.

use crate::clock::Span;
use crate::direct::adapter::{Adapter, LocalFuture};
use crate::direct::mesh::{Answer, Call, Question};
use crate::standin::direct::link::Stream;
use crate::types::{Cores, Domain, Life, VmId};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// What a VM's program is given.
#[derive(Debug)]
pub struct Machine {
    /// The platform.
    pub adapter: Adapter,
    /// Calls of other VMs.
    pub call: Wrapped<Call>,
    /// The VM.
    pub vm: VmId,
    /// Its life.
    pub life: Life,
    /// Its failure domain.
    pub domain: Domain,
    /// Its processor.
    pub cores: Cores,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
    /// Where other VMs ask it.
    pub address: SocketAddr,
    /// Some VMs' addresses.
    pub seeds: Vec<SocketAddr>,
    /// Callers' connections.
    pub streams: mpsc::UnboundedReceiver<Stream>,
    /// Where other VMs' statements are relayed.
    pub relay: SocketAddr,
    /// Other VMs' streams, for relaying.
    pub relays: mpsc::UnboundedReceiver<Stream>,
    /// Other VMs' questions.
    pub questions: mpsc::UnboundedReceiver<(Question, oneshot::Sender<Answer>)>,
    /// Completes when the VM shall stop, with how long it may take.
    pub stop: oneshot::Receiver<Span>,
    /// Whether it takes new callers.
    pub ready: Rc<Cell<bool>>,
}

/// A closure, which has nothing to print.
#[derive(Clone)]
pub struct Wrapped<T>(pub T);

impl<T> fmt::Debug for Wrapped<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closure")
    }
}

/// What runs on each VM.
pub type Program = Rc<dyn Fn(Machine) -> LocalFuture<()>>;
