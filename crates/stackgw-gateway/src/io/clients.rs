//! Clients: the listener, and one task for each connection.

use super::connection::{Link, Turn, Turns};
use super::{Client, Shell};
use crate::pg::FrameDecoder;
use crate::reducer::{ClientId, CloseReason, Input};
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use rustix::event::{poll, PollFd, Timespec};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Takes connections while the reducer has room, until it has the listener closed.
pub(super) async fn accept(shell: Rc<Shell>, listener: Async<TcpListener>) {
    // Danger: hundreds may connect at once; past the line's end the kernel lets the usual ones wait for seconds.
    let _ = rustix::net::listen(listener.get_ref(), shell.limits.backlog);
    let (mut next, mut turn) = (0, 0);
    let pause = Duration::from_nanos(shell.limits.error_backoff as u64);
    loop {
        let stopped = async {
            shell.stops_listening.wait(true).await;
            None
        };
        let taken = async {
            shell.accepts.wait(true).await;
            Some(listener.accept().await)
        };
        match future::or(stopped, taken).await {
            Some(Ok((socket, _))) => {
                open(&shell, &mut next, socket);
                turn += 1;
                if turn % shell.limits.accept_batch == 0 {
                    future::yield_now().await;
                }
            }
            // Out of descriptors, or the client has gone already: neither may end the listener.
            Some(Err(_)) => drop(Timer::after(pause).await),
            None => break,
        }
    }
    // Whoever stands in line has been accepted by this machine, and is served.
    while let Ok((socket, _)) = listener.get_ref().accept() {
        if let Ok(socket) = Async::new(socket) {
            open(&shell, &mut next, socket);
        }
    }
    drop(listener);
    shell.input(Input::ListenerClosed);
}

fn open(shell: &Rc<Shell>, next: &mut u64, socket: Async<TcpStream>) {
    let limits = &shell.limits;
    let link = Link::new(
        socket,
        limits.read_ahead_bytes,
        limits.linger_bytes,
        &shell.client_budget,
    );
    let id = ClientId(*next);
    *next += 1;
    let task = shell.executor.spawn(serve(shell.clone(), id, link.clone()));
    shell
        .clients
        .borrow_mut()
        .insert(id, Client { link, _task: task });
    shell.input(Input::ClientConnected(id));
}

/// Tells the reducer of clients that leave while what they have sent is not read on.
///
/// Danger: the end of a connection is read behind its last byte. One whose bytes wait for room, for the statements before
/// them or for the rest of a message would be served, statement by statement, long after it has gone.
pub(super) async fn see_leave(shell: Rc<Shell>) {
    let pace = Duration::from_nanos(shell.limits.disconnect_poll_interval as u64);
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    loop {
        shell.holds.wait(true).await;
        Timer::after(pace).await;
        let holding: Vec<_> = shell.holding.borrow().iter().copied().collect();
        for some in holding.chunks(shell.limits.disconnect_poll_batch) {
            let link = |id: &ClientId| Some((*id, shell.clients.borrow().get(id)?.link.clone()));
            let links: Vec<_> = some.iter().filter_map(link).collect();
            let mut asked: Vec<_> = links.iter().map(|(_, link)| link.closes()).collect();
            // Where it cannot be asked, the end is read in its turn.
            let seen = poll(&mut asked, Some(&now)).unwrap_or_default();
            let over = |asked: &PollFd<'_>| seen > 0 && !asked.revents().is_empty();
            let gone: Vec<_> = links
                .iter()
                .zip(&asked)
                .filter(|(_, a)| over(a))
                .map(|((id, _), _)| *id)
                .collect();
            for id in gone {
                shell.close_client(id, false);
                shell.input(Input::ClientClosed(id, CloseReason::Disconnected));
            }
            future::yield_now().await;
        }
        shell.holds.set(!shell.holding.borrow().is_empty());
    }
}

async fn serve(shell: Rc<Shell>, id: ClientId, link: Rc<Link>) {
    let limits = &shell.limits;
    let mut frames = FrameDecoder::client(limits.startup_bytes, limits.statement_bytes);
    let mut turns = Turns {
        link: link.clone(),
        buffer: shell.buffer.clone(),
    };
    while let Some(turn) = turns.next().await {
        match turn {
            Turn::Bytes(bytes) => frames.feed(&bytes),
            Turn::Written => shell.input(Input::ClientFlushed(id)),
            Turn::Woken => {}
            Turn::Closed => {
                shell.close_client(id, false);
                return shell.input(Input::ClientClosed(id, CloseReason::Disconnected));
            }
        }
        let mut taken = 0;
        while shell.takes(id) {
            if taken == limits.messages_per_turn {
                // Danger: one that sends hundreds of messages at once would keep all others waiting.
                taken = 0;
                future::yield_now().await;
                continue;
            }
            taken += 1;
            match frames.next_frame() {
                Some(Ok(frame)) => shell.input(Input::ClientFrame(id, frame)),
                // The stream ends once the reducer's last word to this client is written.
                Some(Err(_)) => shell.input(Input::ClientClosed(id, CloseReason::ProtocolError)),
                None => break,
            }
        }
        if !shell.clients.borrow().contains_key(&id) {
            return;
        }
        if link.is_closing() {
            frames.clear();
        }
        let held = frames.pending_bytes();
        link.hold(held);
        if held == 0 {
            shell.holding.borrow_mut().remove(&id);
        } else {
            shell.holding.borrow_mut().insert(id);
            shell.holds.set(true);
            shell.input(Input::ClientReadAhead(id, held));
            if !shell.takes(id) {
                shell.waiting.borrow_mut().insert(id);
            }
        }
        // Nor would one that sends without a pause.
        future::yield_now().await;
    }
}
