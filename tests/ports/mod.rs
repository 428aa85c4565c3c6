//! Ports for processes that a test starts.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// The ports given out in this process: one that nobody listens on yet would be drawn again.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address that was free a moment ago, and that no other call was given.
pub fn free() -> SocketAddr {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if given.insert(address.port()) {
            return address;
        }
    }
}
