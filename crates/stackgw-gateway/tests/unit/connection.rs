//! Unit tests of `io/connection` that need its private items.

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

/// A connection and its peer's socket.
fn connection_pair() -> (Rc<Connection>, TcpStream) {
    connection_pair_within(&ReadBudget::new(1000, 1))
}

fn connection_pair_within(budget: &Rc<ReadBudget>) -> (Rc<Connection>, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let peer =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (socket, _) = listener.accept().expect("a connection");
    (
        Connection::new(Async::new(socket).expect("non-blocking"), LIMITS, budget),
        peer,
    )
}

/// With values of hundreds of KiB, parts of messages used up the budget and no message became complete in time.
#[test]
fn one_connection_at_a_time_reads_when_the_budget_is_used_up() {
    let budget = ReadBudget::new(100, 1);
    let pairs = [(); 3].map(|()| connection_pair_within(&budget));
    pairs
        .iter()
        .for_each(|(connection, _)| connection.set_pending_bytes(60));
    let waker = Waker::noop();
    let may_read = || {
        pairs
            .each_ref()
            .map(|(connection, _)| connection.readable_bytes(waker) > 0)
    };
    assert_eq!(may_read(), [true, false, false]);
    assert_eq!(
        may_read(),
        [true, false, false],
        "the same connection must read until its message is complete"
    );
    pairs[1].0.set_pending_bytes(61);
    pairs[0].0.set_pending_bytes(0);
    pairs[0].0.set_pending_bytes(60);
    assert!(pairs[1].0.readable_bytes(waker) > 0);
    assert_eq!(may_read(), [false, true, false]);
    pairs[1].0.set_pending_bytes(0);
    pairs[2].0.set_pending_bytes(0);
    assert_eq!(
        may_read(),
        [true, true, true],
        "all connections must read once the budget is free again"
    );
}

/// Connections that hold as many bytes as they may leave part of the budget free, and each other connection keeps its reserve.
#[test]
fn small_messages_are_read_when_other_connections_hold_all_they_may() {
    let budget = ReadBudget::new(1000, 10);
    let waker = Waker::noop();
    let full = [(); 9].map(|()| connection_pair_within(&budget));
    for (connection, _) in &full {
        connection.set_awaiting_acceptance(true);
        while connection.readable_bytes(waker) > 0 {
            connection.set_pending_bytes(connection.pending_bytes.get() + 10);
        }
    }
    let pending_bytes: usize = full.iter().map(|(c, _)| c.pending_bytes.get()).sum();
    assert!(
        pending_bytes < 600,
        "half of the budget must be left to connections without a complete message"
    );
    let (new_connection, _peer) = connection_pair_within(&budget);
    assert!(
        new_connection.readable_bytes(waker) > 10,
        "a new connection must read more than its reserve while the budget is not used up"
    );
    full[0].0.set_pending_bytes(1000);
    assert_eq!(
        new_connection.readable_bytes(waker),
        10,
        "a new connection must be able to read its reserve"
    );
    new_connection.set_pending_bytes(3);
    let (exempt, _peer) = connection_pair_within(&budget);
    exempt.set_pending_bytes(100);
    assert!(
        exempt.readable_bytes(waker) > 0,
        "the exempt connection must read the rest of its message"
    );
    assert_eq!(
        new_connection.readable_bytes(waker),
        7,
        "a connection must be able to read the rest of its reserve"
    );
    exempt.set_pending_bytes(0);
    full[0].0.set_pending_bytes(0);
    assert!(
        full[8].0.readable_bytes(waker) > 0,
        "connections at their limit must read again once the budget is free"
    );
}

#[test]
fn an_idle_connection_is_closed_at_once_even_if_its_task_still_holds_it() {
    let (connection, mut peer) = connection_pair();
    assert!(connection.close_if_idle());
    assert_eq!(peer.read(&mut [0; 8]).expect("end of stream"), 0);
}

#[test]
fn a_connection_with_unread_bytes_is_not_closed_as_idle() {
    let (connection, mut peer) = connection_pair();
    peer.write_all(b"x").expect("written");
    // Loopback usually delivers before the write returns, but that is not guaranteed.
    while connection.socket.get_ref().peek(&mut [0]).is_err() {
        std::thread::yield_now();
    }
    assert!(!connection.close_if_idle());
    let (connection, _peer) = connection_pair();
    connection.set_pending_bytes(3);
    assert!(
        !connection.close_if_idle(),
        "a connection whose task holds bytes must not be closed"
    );
}

/// Regression: parts of many large messages filled the budget, and each waited for the memory that the others held.
#[test]
fn a_large_message_is_read_only_once_all_of_its_memory_is_reserved() {
    let budget = ReadBudget::new(1000, 10);
    let waker = Waker::noop();
    let connections = [(); 3].map(|()| connection_pair_within(&budget).0);
    let start_message = |connection: &Connection| {
        connection.set_pending_bytes(10);
        connection.set_missing_bytes(390);
        connection.readable_bytes(waker)
    };
    for connection in &connections[..2] {
        assert_eq!(start_message(connection), usize::MAX, "its memory is free");
    }
    let late = &connections[2];
    budget.exempt.set(Some(connections[0].key()));
    assert_eq!(start_message(late), 0, "only 200 bytes are free");
    connections[1].set_pending_bytes(0);
    assert_eq!(late.readable_bytes(waker), usize::MAX);
    connections[0].set_pending_bytes(0);
    connections[0].set_missing_bytes(395);
    connections[0].set_pending_bytes(4);
    assert_eq!(
        connections[0].readable_bytes(waker),
        6,
        "a connection that has not used up its reserve holds no more than that"
    );
}
