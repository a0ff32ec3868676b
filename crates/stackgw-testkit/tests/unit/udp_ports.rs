//! Reserved ports are safe from the system's assignment, and each is reserved once.

use super::reserve;
use std::collections::BTreeSet;

/// Regression: a gateway did not start as its port, free between its reservation and its bind, had been assigned to another socket.
#[test]
fn reserved_ports_are_none_that_the_system_assigns() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the range of assigned ports");
    let first_assigned: u16 = range
        .split_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .expect("the first assigned port");
    let mut ports = BTreeSet::new();
    for _ in 0..200 {
        let socket = reserve().expect("a free port");
        let port = socket.local_addr().expect("an address").port();
        assert!(port < first_assigned, "port {port} may be assigned");
        assert!(ports.insert(port), "port {port} was reserved twice");
    }
}
