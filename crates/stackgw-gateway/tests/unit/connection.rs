//! What of `io/connection` is seen from inside only.

use super::*;
use std::net::{Ipv4Addr, TcpListener};

/// A connection, and its other end.
fn pair() -> (Rc<Link>, TcpStream) {
    pair_within(&Budget::new(1000))
}

fn pair_within(budget: &Rc<Budget>) -> (Rc<Link>, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let other =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (socket, _) = listener.accept().expect("a connection");
    (
        Link::new(Async::new(socket).expect("non-blocking"), 100, 1000, budget),
        other,
    )
}

/// Found with values of hundreds of KiB: with all room taken by parts of messages, none became whole in time.
#[test]
fn where_there_is_no_room_one_connection_after_another_reads_on() {
    let budget = Budget::new(100);
    let links = [(); 3].map(|()| pair_within(&budget));
    links.iter().for_each(|(link, _)| link.hold(60));
    let waker = Waker::noop();
    let reads = || links.each_ref().map(|(link, _)| link.may_read(waker));
    assert_eq!(reads(), [true, false, false]);
    assert_eq!(
        reads(),
        [true, false, false],
        "the same until its message is whole"
    );
    links[1].0.hold(61);
    links[0].0.hold(0);
    links[0].0.hold(60);
    assert!(links[1].0.may_read(waker));
    assert_eq!(reads(), [false, true, false]);
    links[1].0.hold(0);
    links[2].0.hold(0);
    assert_eq!(reads(), [true, true, true], "there is room for all");
}

#[test]
fn a_quiet_connection_is_over_at_once_though_its_task_still_has_it() {
    let (link, mut other) = pair();
    assert!(link.end_if_quiet());
    assert_eq!(other.read(&mut [0; 8]).expect("the end"), 0);
}

#[test]
fn a_connection_is_not_ended_under_what_has_come() {
    let (link, mut other) = pair();
    other.write_all(b"x").expect("written");
    // Loopback delivers before the write returns, but that is nowhere promised.
    while link.socket.get_ref().peek(&mut [0]).is_err() {
        std::thread::yield_now();
    }
    assert!(!link.end_if_quiet());
    let (link, _other) = pair();
    link.hold(3);
    assert!(!link.end_if_quiet(), "what its task holds counts too");
}
