//! What of `io/connection` is seen from inside only.

use super::{Connection, ReadBudget, ReadLimits};
use async_io::Async;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::Waker;

const LIMITS: ReadLimits = ReadLimits {
    max_pending_bytes: 100,
    linger_bytes: 1000,
};

/// A connection, and its other end.
fn pair() -> (Rc<Connection>, TcpStream) {
    pair_within(&ReadBudget::new(1000, 1))
}

fn pair_within(budget: &Rc<ReadBudget>) -> (Rc<Connection>, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let other =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (socket, _) = listener.accept().expect("a connection");
    (
        Connection::new(Async::new(socket).expect("non-blocking"), LIMITS, budget),
        other,
    )
}

/// Found with values of hundreds of KiB: with all room taken by parts of messages, none became whole in time.
#[test]
fn one_connection_after_another_reads_on_when_the_budget_is_used_up() {
    let budget = ReadBudget::new(100, 1);
    let pairs = [(); 3].map(|()| pair_within(&budget));
    pairs
        .iter()
        .for_each(|(connection, _)| connection.set_pending_bytes(60));
    let waker = Waker::noop();
    let reads = || {
        pairs
            .each_ref()
            .map(|(connection, _)| connection.readable_bytes(waker) > 0)
    };
    assert_eq!(reads(), [true, false, false]);
    assert_eq!(
        reads(),
        [true, false, false],
        "the same until its message is whole"
    );
    pairs[1].0.set_pending_bytes(61);
    pairs[0].0.set_pending_bytes(0);
    pairs[0].0.set_pending_bytes(60);
    assert!(pairs[1].0.readable_bytes(waker) > 0);
    assert_eq!(reads(), [false, true, false]);
    pairs[1].0.set_pending_bytes(0);
    pairs[2].0.set_pending_bytes(0);
    assert_eq!(reads(), [true, true, true], "there is room for all");
}

/// Connections that hold all that they are given leave a part of the budget free, and its reserve to each that holds little.
#[test]
fn small_messages_are_read_when_others_hold_all_that_they_may() {
    let budget = ReadBudget::new(1000, 10);
    let waker = Waker::noop();
    let full = [(); 9].map(|()| pair_within(&budget));
    for (connection, _) in &full {
        connection.set_awaiting_acceptance(true);
        while connection.readable_bytes(waker) > 0 {
            connection.set_pending_bytes(connection.pending_bytes.get() + 10);
        }
    }
    let held: usize = full.iter().map(|(c, _)| c.pending_bytes.get()).sum();
    assert!(held < 600, "half of it is not for more than one message");
    let (newcomer, _other) = pair_within(&budget);
    assert!(newcomer.readable_bytes(waker) > 10, "what is left free");
    full[0].0.set_pending_bytes(1000);
    assert_eq!(newcomer.readable_bytes(waker), 10, "its reserve");
    newcomer.set_pending_bytes(3);
    let (exempt, _other) = pair_within(&budget);
    exempt.set_pending_bytes(100);
    assert!(
        exempt.readable_bytes(waker) > 0,
        "a part of a message is read on"
    );
    assert_eq!(newcomer.readable_bytes(waker), 7, "what is left of it");
    exempt.set_pending_bytes(0);
    full[0].0.set_pending_bytes(0);
    assert!(full[8].0.readable_bytes(waker) > 0, "they are read on");
}

#[test]
fn a_quiet_connection_is_closed_at_once_when_its_task_still_holds_it() {
    let (connection, mut other) = pair();
    assert!(connection.close_if_idle());
    assert_eq!(other.read(&mut [0; 8]).expect("the end"), 0);
}

#[test]
fn a_connection_is_not_closed_when_something_has_come() {
    let (connection, mut other) = pair();
    other.write_all(b"x").expect("written");
    // Loopback delivers before the write returns, but that is nowhere promised.
    while connection.socket.get_ref().peek(&mut [0]).is_err() {
        std::thread::yield_now();
    }
    assert!(!connection.close_if_idle());
    let (connection, _other) = pair();
    connection.set_pending_bytes(3);
    assert!(
        !connection.close_if_idle(),
        "what its task holds counts too"
    );
}
