//! What hashing that deals work out to VMs reads of them.

use std::net::{IpAddr, SocketAddr};

/// Bytes of an address: 16 of the IP, 2 of the port.
const LENGTH: usize = 18;

/// An address as bytes. Every VM weighs each VM for each database whenever their list changes; as text
/// that is some hundred thousand allocations where there are hundreds of both.
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
