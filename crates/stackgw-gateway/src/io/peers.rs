//! Datagrams from other gateways.

use super::Shell;
use crate::reducer::Input;
use async_io::{Async, Timer};
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

/// Hands over each datagram.
pub(super) async fn run(shell: Rc<Shell>, socket: Rc<Async<UdpSocket>>) {
    let pause = Duration::from_nanos(shell.limits.error_pause as u64);
    // One byte more than allowed shows that one is too long.
    let mut buffer = vec![0; shell.limits.datagram_bytes + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((n, from)) => shell.input(Input::Datagram(from, buffer[..n].to_vec())),
            // Word of a datagram that did not arrive; it must not become a busy loop.
            Err(_) => drop(Timer::after(pause).await),
        }
    }
}
