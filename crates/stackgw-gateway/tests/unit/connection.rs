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
    pair_within(&ReadBudget::new(1000))
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
    let budget = ReadBudget::new(100);
    let pairs = [(); 3].map(|()| pair_within(&budget));
    pairs
        .iter()
        .for_each(|(connection, _)| connection.set_pending_bytes(60));
    let waker = Waker::noop();
    let reads = || {
        pairs
            .each_ref()
            .map(|(connection, _)| connection.may_read(waker))
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
    assert!(pairs[1].0.may_read(waker));
    assert_eq!(reads(), [false, true, false]);
    pairs[1].0.set_pending_bytes(0);
    pairs[2].0.set_pending_bytes(0);
    assert_eq!(reads(), [true, true, true], "there is room for all");
}

#[test]
fn a_quiet_connection_is_closed_at_once_when_its_task_still_holds_it() {
    let (connection, mut other) = pair();
    assert!(connection.close_if_quiet());
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
    assert!(!connection.close_if_quiet());
    let (connection, _other) = pair();
    connection.set_pending_bytes(3);
    assert!(
        !connection.close_if_quiet(),
        "what its task holds counts too"
    );
}
