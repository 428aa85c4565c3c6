//! Resident memory of a process for each stream to another proxy, both ends counted.

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

/// How long streams are left to settle before memory is read.
const SETTLE: Duration = Duration::from_secs(1);

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be listened on.
    #[error("a stream's end could not listen: {0}; check the limit on open files")]
    Listen(#[from] std::io::Error),
    /// A name was not valid.
    #[error(transparent)]
    Name(#[from] Invalid),
}

struct End {
    peers: Rc<Peers>,
    events: mpsc::UnboundedReceiver<Event>,
    address: std::net::SocketAddr,
}

/// Opens streams from one process's hub to as many others as each of `counts` asks, rising.
pub async fn run(counts: &[usize]) -> Result<Vec<Level>, Error> {
    let hub = end("hub").await?;
    let mut others: Vec<End> = Vec::new();
    let mut levels = vec![read(0).await];
    for &count in counts {
        while others.len() < count {
            let mut other = end(&format!("other-{}", others.len())).await?;
            other.peers.set_addresses([("hub".parse()?, hub.address)]);
            other.peers.send("hub".parse()?, hello());
            // The stream is open once its end hears of it.
            other.events.recv().await;
            others.push(other);
        }
        levels.push(read(count).await);
    }
    Ok(levels)
}

async fn end(name: &str) -> Result<End, Error> {
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
    Ok(End {
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
    tokio::time::sleep(SETTLE).await;
    level(count, || process::resident().unwrap_or_default())
}
