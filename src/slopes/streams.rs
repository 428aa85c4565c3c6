//! Resident memory of a process per stream to another proxy, counting both ends.

use crate::core::message::{Hello, Message};
use crate::net::peer::{Event, Identity, Peers};
use crate::process;
use crate::slopes::report::{Level, level};
use crate::types::{Invalid, Life, Version, VmId};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// How long streams settle before memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("a stream's end could not listen: {0}; check the limit on open files")]
    Listen(#[from] std::io::Error),
    /// A name was not valid.
    #[error(transparent)]
    Name(#[from] Invalid),
}

struct Endpoint {
    peers: Rc<Peers>,
    events: mpsc::UnboundedReceiver<Event>,
    address: std::net::SocketAddr,
}

/// Opens streams from one hub in this process to each of `counts` peers, in rising order.
pub async fn run(counts: &[usize]) -> Result<Vec<Level>, Error> {
    let hub = endpoint("hub").await?;
    let mut others: Vec<Endpoint> = Vec::new();
    let mut levels = vec![read(0).await];
    for &count in counts {
        while others.len() < count {
            let mut other = endpoint(&format!("other-{}", others.len())).await?;
            other.peers.learn([("hub".parse()?, hub.address)]);
            other.peers.send("hub".parse()?, hello());
            // The stream is open once its other end reports an event.
            other.events.recv().await;
            others.push(other);
        }
        levels.push(read(count).await);
    }
    Ok(levels)
}

async fn endpoint(name: &str) -> Result<Endpoint, Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (sender, events) = mpsc::unbounded_channel();
    let vm: VmId = name.parse()?;
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let peers = Peers::new(
        Identity {
            vm,
            life: Life(1),
            source,
        },
        sender,
    );
    peers.listen(listener);
    Ok(Endpoint {
        peers,
        events,
        address,
    })
}

fn hello() -> Message {
    Message::Hello(Hello {
        life: Life(1),
        version: Version(1),
        stopping: false,
    })
}

async fn read(count: usize) -> Level {
    tokio::time::sleep(SETTLE_TIME).await;
    level(count, || process::resident().unwrap_or_default())
}
