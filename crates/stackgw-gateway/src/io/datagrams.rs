//! Datagrams from other gateways, the platform's and those of the operator's cluster.

use super::Shell;
use crate::reducer::Input;
use async_io::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Hands over each datagram of a socket, as the input that it is; none is longer than this.
pub(super) async fn run(
    shell: Rc<Shell>,
    socket: Rc<Async<UdpSocket>>,
    most: usize,
    input: fn(SocketAddr, Vec<u8>) -> Input,
) {
    let pause = Duration::from_nanos(shell.limits.error_backoff as u64);
    // One byte more than allowed shows that one is too long.
    let mut buffer = vec![0; most + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((n, from)) => shell.input(input(from, buffer[..n].to_vec())),
            // Word of a datagram that did not arrive; it must not become a busy loop.
            Err(_) => drop(Timer::after(pause).await),
        }
    }
}
