//! Datagrams from other gateways: the platform's, and those of the operator's cluster.

use super::driver::Driver;
use crate::reducer::Input;
use async_io::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Hands over each datagram of a socket as the input that it is; one over `max_bytes` is cut to one byte more, which shows that
/// it is too long.
pub(super) async fn run(
    driver: Rc<Driver>,
    socket: Rc<Async<UdpSocket>>,
    max_bytes: usize,
    input: fn(SocketAddr, Vec<u8>) -> Input,
) {
    let backoff = Duration::from_nanos(driver.limits.error_backoff as u64);
    let mut buffer = vec![0; max_bytes + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((count, from)) => driver.handle_input(input(from, buffer[..count].to_vec())),
            // A datagram that was sent did not arrive; that must not become a busy loop.
            Err(_) => drop(Timer::after(backoff).await),
        }
    }
}
