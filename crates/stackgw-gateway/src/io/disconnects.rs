//! Detects clients that disconnect while reads from them are paused.
//!
//! The end of a connection is read only after its last byte. Without this check, statements that wait for capacity, for earlier
//! statements or for the rest of a message would be executed long after their client has disconnected.

use super::connection::{Connection, NO_WAIT};
use super::driver::Driver;
use crate::reducer::{ClientId, CloseReason, Input};
use async_io::Timer;
use futures_lite::future;
use rustix::event::{poll, PollFd};
use std::rc::Rc;
use std::time::Duration;

/// Reports disconnected clients to the reducer.
pub(super) async fn run(driver: Rc<Driver>) {
    let interval = Duration::from_nanos(driver.limits.disconnect_poll_interval as u64);
    loop {
        driver.clients.any_pending_bytes.wait().await;
        Timer::after(interval).await;
        let pending: Vec<_> = driver
            .clients
            .with_pending_bytes
            .borrow()
            .iter()
            .copied()
            .collect();
        for batch in pending.chunks(driver.limits.disconnect_poll_batch) {
            let connections = connections_of(&driver, batch);
            for id in find_disconnected(&connections) {
                driver.remove_client(id);
                driver.handle_input(Input::ClientClosed(id, CloseReason::Disconnected));
            }
            future::yield_now().await;
        }
        let any_pending = !driver.clients.with_pending_bytes.borrow().is_empty();
        driver.clients.any_pending_bytes.set(any_pending);
    }
}

fn connections_of(driver: &Driver, batch: &[ClientId]) -> Vec<(ClientId, Rc<Connection>)> {
    let clients = driver.clients.connections.borrow();
    let connection = |id: &ClientId| Some((*id, clients.get(id)?.connection.clone()));
    batch.iter().filter_map(connection).collect()
}

/// Returns the clients that have closed their connections, or whose connections are broken.
fn find_disconnected(connections: &[(ClientId, Rc<Connection>)]) -> Vec<ClientId> {
    let polls = connections
        .iter()
        .map(|(_, connection)| connection.disconnect_poll_fd());
    let mut polls: Vec<PollFd<'_>> = polls.collect();
    // If the poll fails, the end of a connection is still read after the bytes before it.
    if poll(&mut polls, Some(&NO_WAIT)).unwrap_or_default() == 0 {
        return Vec::new();
    }
    let disconnected = connections
        .iter()
        .zip(&polls)
        .filter(|(_, poll)| !poll.revents().is_empty());
    disconnected.map(|((id, _), _)| *id).collect()
}
