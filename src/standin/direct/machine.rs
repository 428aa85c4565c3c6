//! The environment of a VM's program.

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

/// The environment of a VM's program.
#[derive(Debug)]
pub struct Machine {
    /// The platform.
    pub adapter: Adapter,
    /// Sends questions to other VMs.
    pub call: Wrapped<Call>,
    /// The VM's id.
    pub vm: VmId,
    /// Its life: the incarnation of its process.
    pub life: Life,
    /// Its failure domain.
    pub domain: Domain,
    /// Its processor cores.
    pub cores: Cores,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
    /// The address at which other VMs send questions to it.
    pub address: SocketAddr,
    /// Addresses of some VMs, to join the others at start.
    pub seeds: Vec<SocketAddr>,
    /// Callers' connections.
    pub streams: mpsc::UnboundedReceiver<Stream>,
    /// The address at which it relays statements of other VMs.
    pub relay: SocketAddr,
    /// Streams from other VMs whose statements it relays.
    pub relays: mpsc::UnboundedReceiver<Stream>,
    /// Questions from other VMs, each with the channel for its answer.
    pub questions: mpsc::UnboundedReceiver<(Question, oneshot::Sender<Answer>)>,
    /// Completes when the VM has to stop, with its grace period.
    pub stop: oneshot::Receiver<Span>,
    /// Whether it accepts new callers; set by the program.
    pub ready: Rc<Cell<bool>>,
}

/// A closure, with a constant `Debug` output.
#[derive(Clone)]
pub struct Wrapped<T>(pub T);

impl<T> fmt::Debug for Wrapped<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closure")
    }
}

/// The program that runs on each VM.
pub type Program = Rc<dyn Fn(Machine) -> LocalFuture<()>>;
