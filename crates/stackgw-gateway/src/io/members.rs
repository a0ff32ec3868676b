//! Members: one task for each connection.

use super::connection::{Link, Turn, Turns};
use super::{Member, Shell};
use crate::pg::message_kind::server;
use crate::pg::FrameDecoder;
use crate::reducer::{CloseReason, ConnectionId, Input};
use async_io::Async;
use futures_lite::StreamExt;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Opens a connection; the reducer ends it where that takes too long.
pub(super) fn open(shell: &Rc<Shell>, id: ConnectionId, address: SocketAddr) {
    let task = shell.executor.spawn(serve(shell.clone(), id, address));
    shell.members.borrow_mut().insert(
        id,
        Member {
            link: None,
            _task: task,
        },
    );
}

async fn serve(shell: Rc<Shell>, id: ConnectionId, address: SocketAddr) {
    let why = match Async::<TcpStream>::connect(address).await {
        Ok(socket) => {
            talk(
                &shell,
                id,
                Link::new(socket, shell.limits.answer_bytes, 0, &shell.member_budget),
            )
            .await
        }
        Err(_) => CloseReason::Disconnected,
    };
    let known = shell.members.borrow_mut().remove(&id);
    if known.is_some() {
        shell.input(Input::MemberClosed(id, why));
    }
}

async fn talk(shell: &Rc<Shell>, id: ConnectionId, link: Rc<Link>) -> CloseReason {
    match shell.members.borrow_mut().get_mut(&id) {
        Some(member) => member.link = Some(link.clone()),
        None => return CloseReason::Disconnected,
    }
    shell.input(Input::MemberConnected(id));
    let mut frames = FrameDecoder::server(shell.limits.answer_bytes);
    let mut turns = Turns {
        link: link.clone(),
        buffer: shell.buffer.clone(),
    };
    while let Some(turn) = turns.next().await {
        match turn {
            Turn::Bytes(bytes) => frames.feed(&bytes),
            Turn::Written => shell.input(Input::MemberFlushed(id)),
            Turn::Woken => {}
            Turn::Closed => return CloseReason::Disconnected,
        }
        let mut whole = true;
        while let Some(frame) = frames.next_frame() {
            // Danger: the answer's last message may bring the next request onto this connection at once. What is left
            // here must be seen by then.
            link.hold(frames.pending_bytes());
            match frame {
                Ok(frame) => {
                    whole = frame.kind == server::READY_FOR_QUERY;
                    shell.input(Input::MemberFrame(id, frame));
                }
                Err(_) => return CloseReason::ProtocolError,
            }
        }
        link.hold(frames.pending_bytes());
        if !whole || frames.pending_bytes() > 0 {
            shell.input(Input::MemberPartialFrame(id));
        }
    }
    CloseReason::Disconnected
}
