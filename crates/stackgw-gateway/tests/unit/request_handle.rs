//! Unit tests of `io/request_handle` that need its private items.

use super::{close_intake, FrontendMessage, RequestHandle};
use crate::reducer::FinalResponse;
use futures_lite::future;

/// Returns whether a request has got the response that the gateway ends.
fn has_ended(response: &FinalResponse) -> bool {
    matches!(response, FinalResponse::Unavailable(_))
}

/// Regression: a request that was sent after the gateway's last look at its channel, shortly before it exited, was never answered,
/// and its frontend waited for ever.
#[test]
fn a_request_that_is_not_read_before_the_exit_is_answered() {
    let (handle, messages) = RequestHandle::new();
    let mut waiting = Box::pin(handle.execute("SELECT 1".to_owned()));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
    close_intake(&messages);
    assert!(has_ended(&future::block_on(waiting)));
    let later = handle.execute("SELECT 1".to_owned());
    assert!(has_ended(&future::block_on(later)));
}

/// Regression: the same for a request that was read and not answered.
#[test]
fn a_request_that_is_read_and_not_answered_before_the_exit_is_answered() {
    let (handle, messages) = RequestHandle::new();
    let open_requests = super::OpenRequests::default();
    let mut waiting = Box::pin(handle.execute("SELECT 1".to_owned()));
    assert!(future::block_on(future::poll_once(&mut waiting)).is_none());
    let Ok(FrontendMessage::Execute(request)) = messages.try_recv() else {
        panic!("the request was sent");
    };
    open_requests.insert(request.id, request.response);
    close_intake(&messages);
    open_requests.clear();
    assert!(has_ended(&future::block_on(waiting)));
}
