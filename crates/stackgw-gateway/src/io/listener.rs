//! Accepts client connections.

use super::driver::Driver;
use crate::reducer::Input;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Accepts connections while the reducer has capacity, until the reducer closes the listener.
pub(super) async fn run(driver: Rc<Driver>, listener: Async<TcpListener>) {
    // Hundreds of clients may connect at once. With the default backlog, connects beyond it would wait for seconds.
    let _ = rustix::net::listen(listener.get_ref(), driver.limits.backlog);
    let mut accepted = 0;
    let backoff = Duration::from_nanos(driver.limits.error_backoff as u64);
    loop {
        let stopped = async {
            driver.clients.stops_listening.wait().await;
            None
        };
        let next = async {
            driver.clients.accepts.wait().await;
            Some(listener.accept().await)
        };
        match future::or(stopped, next).await {
            Some(Ok((socket, _))) => {
                driver.open_client(socket);
                accepted += 1;
                if accepted % driver.limits.accept_batch == 0 {
                    future::yield_now().await;
                }
            }
            // No descriptor is left, or the client has disconnected already; neither may stop the listener.
            Some(Err(_)) => drop(Timer::after(backoff).await),
            None => break,
        }
    }
    accept_backlog(&driver, &listener);
    drop(listener);
    driver.handle_input(Input::ListenerClosed);
}

/// Accepts the connections in the backlog: the kernel has already established them, so they are served. Clients may connect as fast
/// as they are accepted, so no more are accepted than the backlog holds.
fn accept_backlog(driver: &Rc<Driver>, listener: &Async<TcpListener>) {
    for _ in 0..driver.limits.backlog {
        let Ok((socket, _)) = listener.get_ref().accept() else {
            return;
        };
        if let Ok(socket) = Async::new(socket) {
            driver.open_client(socket);
        }
    }
}
