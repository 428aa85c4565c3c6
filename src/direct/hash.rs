//! The bytes of a VM's address that rendezvous hashing uses to assign work to VMs.

use std::net::{IpAddr, SocketAddr};

/// Bytes of an address: 16 of the IP, 2 of the port.
const LENGTH: usize = 18;

/// Encodes an address. Each VM hashes every VM's address for every database whenever the list of VMs changes;
/// formatting them as text would take some hundred thousand allocations with hundreds of both.
pub fn bytes(address: SocketAddr) -> [u8; LENGTH] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; LENGTH];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}
