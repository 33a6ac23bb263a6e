//! Ports for the processes that a test starts.
//!
//! A port that is free now may be taken by another process before the one that it is meant for listens, or while that one
//! is down. So a process gives each port once, and only ports from which the system picks none for outgoing connections.

use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::{LazyLock, Mutex, PoisonError};

/// Below the ports that systems pick for outgoing connections, and above those of well-known services.
const PORTS: Range<u16> = 15_000..32_000;
/// Processes with neighbouring ids begin this many ports apart.
const PORTS_PER_PROCESS: usize = 256;

static ALLOCATOR: LazyLock<Mutex<PortAllocator>> = LazyLock::new(|| {
    let first = std::process::id() as usize * PORTS_PER_PROCESS % PORTS.len();
    Mutex::new(PortAllocator::new(PORTS, first))
});

/// Gives the ports of a range in turn, each once.
#[derive(Debug)]
struct PortAllocator {
    range: Range<u16>,
    /// How far into the range the next port lies, the range being continued at its start.
    next: usize,
    /// How many ports were looked at.
    tried: usize,
}

impl PortAllocator {
    /// An allocator that begins this far into the range.
    fn new(range: Range<u16>, first: usize) -> Self {
        PortAllocator {
            range,
            next: first,
            tried: 0,
        }
    }

    fn allocate(&mut self) -> io::Result<u16> {
        while self.tried < self.range.len() {
            let offset = self.next % self.range.len();
            self.next += 1;
            self.tried += 1;
            let port = self.range.start + offset as u16;
            if is_free(port) {
                return Ok(port);
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            format!("all ports of {:?} are given or in use", self.range),
        ))
    }
}

/// Whether nobody listens at a port, for connections or for datagrams.
fn is_free(port: u16) -> bool {
    let address = (Ipv4Addr::LOCALHOST, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// Returns ports that are free now and that this process gives to nobody else, however often it is called.
///
/// # Errors
///
/// If no port is left.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut allocator = ALLOCATOR.lock().unwrap_or_else(PoisonError::into_inner);
    (0..count).map(|_| allocator.allocate()).collect()
}

#[cfg(test)]
mod tests;
