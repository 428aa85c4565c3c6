//! The platform's endpoint that takes orders to promote.

use crate::clock::Time;
use crate::direct::adapter::{Clock, Promote, Promoted, Promotion};
use crate::standin::direct::group::Group;
use crate::standin::direct::journal::{Journal, Ordered};
use crate::standin::direct::network::{Network, Node, Sender};
use crate::types::GroupId;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// How the endpoint handles orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Health {
    /// It executes and answers them.
    #[default]
    Well,
    /// It refuses them.
    Refusing,
    /// It executes them, and the answers are lost.
    Losing,
}

/// The endpoint that takes orders to promote.
pub struct Orders {
    network: Rc<Network>,
    groups: BTreeMap<GroupId, Rc<Group>>,
    journal: Journal,
    health: Cell<Health>,
}

impl fmt::Debug for Orders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Orders").finish_non_exhaustive()
    }
}

impl Orders {
    /// Creates an endpoint for some groups.
    pub fn new(network: Rc<Network>, groups: &[Rc<Group>], journal: Journal) -> Rc<Self> {
        let groups = groups.iter().map(|group| (group.id.clone(), group.clone()));
        Rc::new(Self {
            network,
            groups: groups.collect(),
            journal,
            health: Cell::default(),
        })
    }

    /// Sets how orders are handled from now on.
    pub fn set_health(&self, health: Health) {
        self.health.set(health);
    }

    /// Returns the function with which a VM gives orders. An order is sent at once and stays in
    /// transit until its deadline resets the connection; a VM that is frozen resets nothing.
    pub fn promoter(self: &Rc<Self>, clock: Clock) -> Promote {
        let orders = self.clone();
        Rc::new(move |promotion| {
            let (orders, clock) = (orders.clone(), clock.clone());
            Box::pin(async move { orders.send(promotion, clock()).await })
        })
    }

    async fn send(self: Rc<Self>, promotion: Promotion, now: Time) -> Promoted {
        if now >= promotion.deadline {
            return Promoted::Refused;
        }
        let left = promotion.deadline.since(now);
        let (answer, answered) = oneshot::channel();
        let (sender, hold) = Sender::new();
        let network = self.network.clone();
        network.spawn(async move { self.receive(promotion, sender, answer).await });
        let result = timeout(left.into(), answered).await;
        drop(hold);
        match result {
            Ok(Ok(promoted)) => promoted,
            _ => Promoted::Unknown,
        }
    }

    async fn receive(
        self: Rc<Self>,
        promotion: Promotion,
        sender: Sender,
        answer: oneshot::Sender<Promoted>,
    ) {
        let from = Node::Vm(promotion.holder.clone());
        if !self.network.deliver(&from, &Node::Orders, &sender).await {
            return;
        }
        let promoted = match self.health.get() {
            Health::Refusing => Promoted::Refused,
            _ => self.execute(&promotion),
        };
        if self.health.get() == Health::Losing {
            return;
        }
        if self.network.deliver(&Node::Orders, &from, &sender).await {
            let _ = answer.send(promoted);
        }
    }

    fn execute(&self, promotion: &Promotion) -> Promoted {
        self.journal.borrow_mut().orders.push(Ordered {
            holder: promotion.holder.clone(),
            token: promotion.token,
            group: promotion.group.clone(),
            database: promotion.database.clone(),
            at: Instant::now(),
        });
        let group = self.groups.get(&promotion.group);
        group.map_or(Promoted::NotRunning, |group| {
            group.promote(&promotion.database)
        })
    }
}
