//! Ports for processes that a test starts.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// The ports returned in this process. Without them, a port on which no process listens yet could be
/// returned again.
static RETURNED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A local address whose port was just free, and which no other call has returned.
pub fn free() -> SocketAddr {
    let mut returned = RETURNED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if returned.insert(address.port()) {
            return address;
        }
    }
}
