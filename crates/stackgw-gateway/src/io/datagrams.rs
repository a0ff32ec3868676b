//! Datagrams from other gateways of the platform, and from instances of the operator's cluster.

use super::driver::Driver;
use super::turn::Turn;
use crate::reducer::Input;
use async_io::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Datagrams that are handled before other tasks run. Each may hold the state of many members.
const DATAGRAMS_PER_TURN: u32 = 4;

/// Passes each datagram of a socket to the reducer as an input. A datagram above `max_bytes` is truncated to `max_bytes + 1`
/// bytes, so that it is still recognized as too long.
pub(super) async fn run(
    driver: Rc<Driver>,
    socket: Rc<Async<UdpSocket>>,
    max_bytes: usize,
    input: fn(SocketAddr, Vec<u8>) -> Input,
) {
    let backoff = Duration::from_nanos(driver.limits.error_backoff as u64);
    let mut buffer = vec![0; max_bytes + 1];
    let mut turn = Turn::of_steps(DATAGRAMS_PER_TURN);
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((count, from)) => driver.handle_input(input(from, buffer[..count].to_vec())),
            // The socket can report errors of datagrams sent earlier; the pause prevents a busy loop.
            Err(_) => drop(Timer::after(backoff).await),
        }
        turn.finish_step().await;
    }
}
