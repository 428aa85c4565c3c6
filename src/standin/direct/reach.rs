//! Connections from VMs to databases, and connections and calls between VMs.

use crate::direct::adapter::{self, Connect};
use crate::direct::mesh::{Answer, Call, Question};
use crate::standin::direct::link::Stream;
use crate::standin::direct::network::{Node, Sender};
use crate::standin::direct::session;
use crate::standin::direct::setup;
use crate::standin::direct::world::World;
use crate::types::VmId;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::timeout;

impl World {
    pub(super) fn connect_of(self: &Rc<Self>, vm: &VmId) -> Connect {
        let (world, vm) = (self.clone(), vm.clone());
        Rc::new(move |address, span| {
            let (world, vm) = (world.clone(), vm.clone());
            Box::pin(async move {
                let (answer, answered) = oneshot::channel();
                let (sender, hold) = Sender::new();
                let network = world.network.clone();
                network.spawn(async move { world.accept(vm, address, sender, answer).await });
                let result = timeout(span.into(), answered).await;
                drop(hold);
                let stream = result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
                let stream =
                    stream.map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
                Ok(Box::new(stream) as Box<dyn adapter::Stream>)
            })
        })
    }

    async fn accept(
        self: Rc<Self>,
        vm: VmId,
        address: SocketAddr,
        sender: Sender,
        answer: oneshot::Sender<Stream>,
    ) {
        let members = self.groups.iter().flat_map(|g| {
            let members = g.members();
            members.into_iter().map(|member| (g.clone(), member))
        });
        let mut listening = members.filter(|(_, member)| member.spec.address == address);
        let Some((group, database)) = listening.next() else {
            self.accept_relay(vm, address, sender, answer).await;
            return;
        };
        let opening = (database.spec.id.clone(), vm.clone());
        let (from, to) = (Node::Vm(vm), database.node());
        if self.network.refuses(&from, &to) {
            return;
        }
        if !self.network.deliver(&from, &to, &sender).await || database.life().is_none() {
            return;
        }
        let (near, far) = self.network.connect(&from, &to);
        *self
            .journal
            .borrow_mut()
            .openings
            .entry(opening)
            .or_default() += 1;
        self.network.spawn(session::serve(group, database, far));
        if self.network.deliver(&to, &from, &sender).await {
            let _ = answer.send(near);
        }
    }

    /// Accepts a stream from a VM at another VM, which relays its statements.
    async fn accept_relay(
        self: Rc<Self>,
        vm: VmId,
        address: SocketAddr,
        sender: Sender,
        answer: oneshot::Sender<Stream>,
    ) {
        if address.port() != setup::RELAY_PORT {
            return;
        }
        let mesh = SocketAddr::new(address.ip(), setup::MESH_PORT);
        let Some(other) = self.addresses.borrow().get(&mesh).cloned() else {
            return;
        };
        let (from, to) = (Node::Vm(vm), Node::Vm(other.clone()));
        if self.network.refuses(&from, &to) {
            return;
        }
        if !self.network.deliver(&from, &to, &sender).await || !self.is_running(&other) {
            return;
        }
        let (near, far) = self.network.connect(&from, &to);
        let sent = {
            let vms = self.vms.borrow();
            let sent = vms.get(&other).map(|running| running.relays.send(far));
            sent.is_some_and(|sent| sent.is_ok())
        };
        if sent && self.network.deliver(&to, &from, &sender).await {
            let _ = answer.send(near);
        }
    }

    /// Returns the function with which a VM sends questions to other VMs.
    pub fn call_of(self: &Rc<Self>, vm: &VmId) -> Call {
        let (world, vm) = (self.clone(), vm.clone());
        Rc::new(move |address, question, span| {
            let (world, vm) = (world.clone(), vm.clone());
            Box::pin(async move {
                let (answer, answered) = oneshot::channel();
                let (sender, hold) = Sender::new();
                let network = world.network.clone();
                network.spawn(async move {
                    world.ask(vm, address, question, sender, answer).await;
                });
                let result = timeout(span.into(), answered).await;
                drop(hold);
                result.ok()?.ok()
            })
        })
    }

    async fn ask(
        self: Rc<Self>,
        vm: VmId,
        address: SocketAddr,
        question: Question,
        sender: Sender,
        answer: oneshot::Sender<Answer>,
    ) {
        let Some(other) = self.addresses.borrow().get(&address).cloned() else {
            return;
        };
        let (from, to) = (Node::Vm(vm), Node::Vm(other.clone()));
        if self.network.refuses(&from, &to) {
            let _ = answer.send(Answer::Refused);
            return;
        }
        if !self.network.deliver(&from, &to, &sender).await {
            return;
        }
        let (reply, replied) = oneshot::channel();
        let accepted = {
            let vms = self.vms.borrow();
            let running = vms.get(&other);
            running.is_some_and(|running| running.questions.send((question, reply)).is_ok())
        };
        // A question gets no answer if its VM ended meanwhile.
        let response = match accepted {
            false => Answer::Refused,
            true => match replied.await {
                Ok(response) => response,
                Err(_) => return,
            },
        };
        let length = postcard::to_stdvec(&response).map_or(0, |bytes| bytes.len() as u64);
        *self.answered_bytes.borrow_mut().entry(other).or_default() += length;
        if self
            .network
            .transmit((&to, &from), length, &sender, false)
            .await
        {
            let _ = answer.send(response);
        }
    }
}
