//! Finds clients that leave while what they have sent is not read on.
//!
//! Danger: the end of a connection is read behind its last byte. One whose bytes wait for capacity, for the statements before
//! them or for the rest of a message would be served, statement by statement, long after its client has gone.

use super::connection::Connection;
use super::driver::Driver;
use crate::reducer::{ClientId, CloseReason, Input};
use async_io::Timer;
use futures_lite::future;
use rustix::event::{poll, PollFd, Timespec};
use std::rc::Rc;
use std::time::Duration;

/// A poll that does not wait.
const AT_ONCE: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// Tells the reducer of such clients.
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

/// Those clients that have closed or broken their connections.
fn find_disconnected(connections: &[(ClientId, Rc<Connection>)]) -> Vec<ClientId> {
    let polls = connections
        .iter()
        .map(|(_, connection)| connection.hang_up_poll());
    let mut polls: Vec<PollFd<'_>> = polls.collect();
    // Where the kernel cannot be asked, the end is read behind the bytes before it.
    if poll(&mut polls, Some(&AT_ONCE)).unwrap_or_default() == 0 {
        return Vec::new();
    }
    let hung_up = connections
        .iter()
        .zip(&polls)
        .filter(|(_, poll)| !poll.revents().is_empty());
    hung_up.map(|((id, _), _)| *id).collect()
}
