//! Reading of the start time from entries of the list, which may hold any value.

use proptest::prelude::*;
use stackgw_bootstrap::{Endpoint, StartTime};
use stackgw_router::api::{Lifecycle, MS};
use std::net::SocketAddr;

fn endpoint(up_since_ms: i64) -> Endpoint {
    Endpoint {
        id: "member-1".to_owned(),
        address: SocketAddr::from(([10, 1, 2, 3], 6_543)),
        locality: String::new(),
        cell: 0,
        phase: Lifecycle::Serving,
        size: 1.0,
        up_since_ms,
        leader: false,
    }
}

proptest! {
    /// A start time from a datagram or a file must not overflow when it is converted to nanoseconds.
    #[test]
    fn any_start_time_is_read(up_since_ms: i64) {
        match endpoint(up_since_ms).start_time() {
            StartTime::LongAgo => prop_assert_eq!(up_since_ms, 0),
            StartTime::At(at) => prop_assert_eq!(at, up_since_ms * MS),
            StartTime::Unknown => prop_assert!(!(0..8_000_000_000_000).contains(&up_since_ms)),
        }
    }
}

#[test]
fn the_largest_start_time_is_not_known() {
    assert_eq!(endpoint(i64::MAX).start_time(), StartTime::Unknown);
    assert_eq!(endpoint(i64::MIN).start_time(), StartTime::Unknown);
}
