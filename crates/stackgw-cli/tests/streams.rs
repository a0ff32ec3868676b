//! Bulk streams through real gateways, and faults in the middle of a stream.
#![cfg(feature = "flight")]

mod common;

use arrow_flight::{Action, CancelFlightInfoRequest, CancelFlightInfoResult, FlightData, Ticket};
use common::group_fixture::GroupFixture;
use common::protocol_client::{
    connect_sql, fetch_messages, grpc_code, served, ClientRequest, SqlClient,
};
use futures::{Stream, StreamExt};
use prost::Message;
use stackgw_testkit::{ListedPhase, Protocol};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tonic::{Code, Request, Status};

/// A fixture whose gateways know the primary, and a runtime for its clients.
fn fixture(name: &str, lags_ms: &[u64]) -> (GroupFixture, tokio::runtime::Runtime) {
    let fixture = GroupFixture::new(name, lags_ms, Protocol::FlightSql);
    for n in 0..2 {
        assert_eq!(
            fixture
                .client(n, Protocol::FlightSql)
                .send_with_retries(&ClientRequest::write("k", 1)),
            served(1)
        );
    }
    (
        fixture,
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime"),
    )
}

fn bulk(batches: u64, bytes: usize) -> String {
    format!("SELECT val FROM state WHERE uid = 'bulk-{batches}-{bytes}'")
}

type Messages = std::pin::Pin<Box<dyn Stream<Item = Result<FlightData, Status>>>>;

/// Begins a stream, and retries for up to 5 s while it is rejected.
async fn begin_stream(client: &mut SqlClient, text: &str) -> Messages {
    let since = Instant::now();
    loop {
        match fetch_messages(client, text).await {
            Ok(stream) => return Box::pin(stream),
            Err(error) => {
                let is_rejected = grpc_code(&*error) == Some(Code::Unavailable);
                assert!(
                    is_rejected && since.elapsed() < Duration::from_secs(5),
                    "{error:?}"
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Reads a stream to its end; returns the number of messages, their bytes, and the error that ended the stream, if any.
async fn read_to_end(stream: &mut Messages) -> (u64, usize, Option<Status>) {
    let (mut count, mut bytes) = (0, 0);
    while let Some(next) = stream.next().await {
        match next {
            Ok(data) => (count, bytes) = (count + 1, bytes + data.data_body.len()),
            Err(status) => {
                assert!(stream.next().await.is_none(), "an error ends the stream");
                return (count, bytes, Some(status));
            }
        }
    }
    (count, bytes, None)
}

/// Sets a fault at all members.
fn set_at_all_members(
    fixture: &GroupFixture,
    fault: impl Fn(&stackgw_testkit::FakeMember) -> &AtomicU64,
    value: u64,
) {
    fixture
        .group
        .members
        .iter()
        .for_each(|m| fault(m).store(value, Ordering::Relaxed));
}

/// Checks that no read was executed twice.
fn check_no_read_ran_twice(fixture: &GroupFixture) {
    let executions = fixture.group.executions();
    assert!(
        executions.reads_by_id.values().all(|ran| *ran == 1),
        "{:?}",
        executions.reads_by_id
    );
}

#[test]
fn a_stream_is_complete_and_in_order_with_its_schema() {
    let (fixture, runtime) = fixture("whole", &[20, 20]);
    runtime.block_on(async {
        for (batches, bytes) in [(1, 10), (50, 64 << 10), (20, 1 << 20)] {
            let mut client = connect_sql(fixture.flight_address(0), "look").await;
            let mut stream = begin_stream(&mut client, &bulk(batches, bytes)).await;
            let (messages, body, error) = read_to_end(&mut stream).await;
            assert!(error.is_none(), "{error:?}");
            assert_eq!(messages, batches + 1, "a schema and {batches} batches");
            assert!(
                body >= bytes * usize::try_from(batches).expect("small"),
                "{body}"
            );
        }
    });
    check_no_read_ran_twice(&fixture);
}

#[test]
fn work_stops_within_a_second_when_a_client_cancels() {
    let (fixture, runtime) = fixture("cancel", &[20, 20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut stream = begin_stream(&mut client, &bulk(1_000_000, 64 << 10)).await;
        for _ in 0..20 {
            stream.next().await.expect("a message").expect("no error");
        }
        assert_eq!(fixture.group.in_flight(), 1);
        drop(stream);
        tokio::time::sleep(Duration::from_millis(10)).await;
    });
    fixture.wait_until_idle(Duration::from_secs(1));
    let cancels = || {
        fixture
            .group
            .members
            .iter()
            .map(|m| m.cancellations.load(Ordering::Relaxed))
            .sum::<u64>()
    };
    let since = Instant::now();
    while cancels() == 0 {
        assert!(
            since.elapsed() < Duration::from_secs(5),
            "no member received a cancellation"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn cancel_flight_info_stops_a_stream_before_it_begins_and_in_the_middle() {
    let (fixture, runtime) = fixture("action", &[20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let info = client
            .execute(bulk(1_000_000, 64 << 10), None)
            .await
            .expect("a ticket");
        let stop = || {
            let body = CancelFlightInfoRequest {
                info: Some(info.clone()),
            }
            .encode_to_vec();
            Action {
                r#type: "CancelFlightInfo".to_owned(),
                body: body.into(),
            }
        };
        let mut other = connect_sql(fixture.flight_address(0), "look").await;
        let error = other
            .do_action(Request::new(stop()))
            .await
            .map(|_| ())
            .expect_err("the ticket has no stream to cancel yet");
        assert!(format!("{error:?}").contains("NotFound"), "{error:?}");
        let ticket = || Request::new(info.endpoint[0].ticket.clone().expect("a ticket"));
        // In the middle of the stream.
        let mut stream: Messages = client
            .inner_mut()
            .do_get(ticket())
            .await
            .expect("the stream begins")
            .into_inner()
            .boxed();
        stream.next().await.expect("a message").expect("no error");
        let mut answer = other
            .do_action(Request::new(stop()))
            .await
            .expect("stopped");
        let result = answer.next().await.expect("a result").expect("no error");
        assert_eq!(
            CancelFlightInfoResult::decode(result.body)
                .expect("a result")
                .status,
            1
        );
        assert_eq!(
            read_to_end(&mut stream).await.2.expect("an error").code(),
            Code::Cancelled
        );
        // Before the stream begins.
        set_at_all_members(&fixture, |m| &m.delay_ms, 5_000);
        let mut caller = client.clone();
        let call = async { caller.inner_mut().do_get(ticket()).await.map(|_| ()) };
        let stops = async {
            while other.do_action(Request::new(stop())).await.is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let (call, ()) = tokio::join!(call, stops);
        assert_eq!(call.expect_err("cancelled").code(), Code::Cancelled);
    });
    fixture.wait_until_idle(Duration::from_secs(1));
}

#[test]
fn a_stream_ends_once_and_in_time_when_its_member_stalls() {
    let (fixture, runtime) = fixture("stalls", &[20, 20]);
    set_at_all_members(&fixture, |m| &m.stall_after_batches, 5);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let since = Instant::now();
        let mut stream = begin_stream(&mut client, &bulk(1_000, 1_000)).await;
        let (messages, _, error) = read_to_end(&mut stream).await;
        assert_eq!(error.expect("an error").code(), Code::Aborted);
        assert_eq!(
            messages, 6,
            "the client gets the schema and the five batches before the stall"
        );
        assert!(
            since.elapsed() < Duration::from_secs(3),
            "{:?}",
            since.elapsed()
        );
    });
    check_no_read_ran_twice(&fixture);
    fixture.wait_until_idle(Duration::from_secs(1));
}

#[test]
fn a_stream_ends_and_is_not_retried_when_its_member_dies() {
    let (fixture, runtime) = fixture("dies", &[20, 20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut stream = begin_stream(&mut client, &bulk(1_000_000, 64 << 10)).await;
        stream.next().await.expect("a message").expect("no error");
        let n = (0..3)
            .find(|n| fixture.group.members[*n].in_flight.load(Ordering::Relaxed) > 0)
            .expect("a member with a request in flight");
        fixture.group.kill(n);
        assert_eq!(
            read_to_end(&mut stream).await.2.expect("an error").code(),
            Code::Aborted
        );
        // A new stream is served at once.
        let mut stream = begin_stream(&mut client, &bulk(3, 1_000)).await;
        assert!(read_to_end(&mut stream).await.2.is_none());
    });
    check_no_read_ran_twice(&fixture);
}

#[test]
fn a_stream_is_finished_when_its_member_drains() {
    let (fixture, runtime) = fixture("drains", &[20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut stream = begin_stream(&mut client, &bulk(400, 64 << 10)).await;
        stream.next().await.expect("a message").expect("no error");
        for n in 0..2 {
            fixture.group.announce(n, ListedPhase::Draining);
        }
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let (messages, _, error) = read_to_end(&mut stream).await;
        assert!(error.is_none(), "{error:?}");
        assert_eq!(messages, 400);
    });
}

#[test]
fn a_schema_that_changes_between_two_batches_ends_the_stream() {
    let (fixture, runtime) = fixture("schema", &[20]);
    set_at_all_members(&fixture, |m| &m.change_schema_after_batches, 4);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut stream = begin_stream(&mut client, &bulk(100, 1_000)).await;
        let (messages, _, error) = read_to_end(&mut stream).await;
        assert_eq!(error.expect("an error").code(), Code::Aborted);
        assert!(messages <= 5, "{messages}");
    });
    fixture.wait_until_idle(Duration::from_secs(1));
}

#[test]
fn a_batch_beyond_the_limit_ends_its_stream_and_no_other() {
    let (fixture, runtime) = fixture("large", &[20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut other = begin_stream(&mut client, &bulk(100, 64 << 10)).await;
        other.next().await.expect("a message").expect("no error");
        let mut stream = begin_stream(&mut client, &bulk(3, 3 << 20)).await;
        let (messages, _, error) = read_to_end(&mut stream).await;
        assert_eq!(
            (messages, error.expect("an error").code()),
            (1, Code::Aborted)
        );
        assert!(read_to_end(&mut other).await.2.is_none());
    });
}

#[test]
fn a_hundred_slow_readers_are_ended_and_stall_no_other_stream() {
    let (fixture, runtime) = fixture("slow", &[20, 20]);
    runtime.block_on(async {
        // Each reader has a connection of its own, because unread data fills the flow control window of the connection.
        let mut slow = Vec::new();
        for _ in 0..100 {
            let mut client = connect_sql(fixture.flight_address(0), "look").await;
            let mut stream = begin_stream(&mut client, &bulk(1_000_000, 64 << 10)).await;
            stream.next().await.expect("a message").expect("no error");
            slow.push(stream);
        }
        // Small statements and a complete stream are served meanwhile.
        let mut quick = connect_sql(fixture.flight_address(0), "look").await;
        for _ in 0..10 {
            let mut stream = begin_stream(&mut quick, &bulk(1, 10)).await;
            assert!(read_to_end(&mut stream).await.2.is_none());
        }
        let mut stream = begin_stream(&mut quick, &bulk(100, 64 << 10)).await;
        assert!(read_to_end(&mut stream).await.2.is_none());
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        for stream in &mut slow {
            let end = read_to_end(stream).await.2.expect("an error").code();
            assert_eq!(end, Code::ResourceExhausted);
        }
    });
    fixture.wait_until_idle(Duration::from_secs(1));
    let memory = fixture.peak_memory_mib(0);
    assert!(memory < 192, "peak memory {memory} MiB");
}

#[test]
fn a_stream_ends_at_its_clients_deadline() {
    let (fixture, runtime) = fixture("late", &[20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let text = format!("{} /* d=500 */", bulk(1_000_000, 64 << 10));
        let since = Instant::now();
        let mut stream = begin_stream(&mut client, &text).await;
        assert_eq!(
            read_to_end(&mut stream).await.2.expect("an error").code(),
            Code::DeadlineExceeded
        );
        assert!(
            since.elapsed() < Duration::from_millis(1_500),
            "{:?}",
            since.elapsed()
        );
    });
    fixture.wait_until_idle(Duration::from_secs(1));
}

#[test]
fn a_stream_ticket_is_valid_at_another_gateway() {
    let (fixture, runtime) = fixture("ticket", &[20]);
    runtime.block_on(async {
        let info = connect_sql(fixture.flight_address(0), "look")
            .await
            .execute(bulk(3, 100), None)
            .await
            .expect("a ticket");
        assert!(
            info.schema.is_empty(),
            "the schema is only known from the answer"
        );
        fixture.gateways.restart(0).expect("the gateway starts");
        let ticket: Ticket = info.endpoint[0].ticket.clone().expect("a ticket");
        let mut other = connect_sql(fixture.flight_address(1), "look").await;
        let answer = other
            .inner_mut()
            .do_get(Request::new(ticket))
            .await
            .expect("the stream begins");
        let mut stream: Messages = answer.into_inner().boxed();
        assert_eq!(read_to_end(&mut stream).await.0, 4);
    });
}

#[test]
fn a_stream_ends_with_an_error_when_its_gateway_is_killed() {
    let (fixture, runtime) = fixture("ends", &[20]);
    runtime.block_on(async {
        let mut client = connect_sql(fixture.flight_address(0), "look").await;
        let mut stream = begin_stream(&mut client, &bulk(1_000_000, 64 << 10)).await;
        stream.next().await.expect("a message").expect("no error");
        fixture.gateways.kill(0);
        let error = loop {
            match stream.next().await.expect("an error before the end") {
                Ok(_) => {}
                Err(error) => break error,
            }
        };
        assert!(grpc_code(&error).is_some());
    });
    fixture.wait_until_idle(Duration::from_secs(1));
}
