//! Drives the reducer: passes inputs to it one at a time and carries out its effects.

use super::alarm::Alarm;
use super::backend_channels::BackendHandle;
use super::client_table::Clients;
use super::clock::Clock;
use super::control_answers::StatusReplies;
use super::flag::Flag;
use super::list_tasks::ListRequests;
use super::member_table::Members;
use super::request_handle::OpenRequests;
use crate::config::ConfigReloader;
use crate::limits::Limits;
use crate::reducer::{Effect, Input, Reducer};
use async_executor::LocalExecutor;
use async_io::Async;
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// The state that all tasks share.
pub(super) struct Driver {
    pub(super) reducer: RefCell<Reducer>,
    /// Inputs that wait until the current one has been handled.
    pub(super) inputs: RefCell<VecDeque<Input>>,
    pub(super) is_handling: Cell<bool>,
    pub(super) limits: Limits,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) reloader: ConfigReloader,
    pub(super) clients: Clients,
    pub(super) members: Members,
    pub(super) backend: BackendHandle,
    pub(super) open_requests: OpenRequests,
    pub(super) list_requests: ListRequests,
    pub(super) datagrams: DatagramSockets,
    pub(super) storage: RefCell<Storage>,
    pub(super) status_replies: StatusReplies,
    pub(super) alarm: Alarm,
    /// Set when the gateway is to exit.
    pub(super) exits: Flag,
    /// Buffer for one read, shared by all connections of this thread.
    pub(super) read_buffer: Rc<RefCell<Vec<u8>>>,
}

/// The sockets for datagrams; `None` where the configuration has none.
#[derive(Default)]
pub(super) struct DatagramSockets {
    /// To and from the other gateways of the platform.
    pub(super) peers: Option<Rc<Async<UdpSocket>>>,
    /// To and from other instances of the operator's cluster.
    pub(super) cluster: Option<Rc<Async<UdpSocket>>>,
}

/// The writers to the disk; `None` where the configuration has none. Dropping a writer commits what is queued.
#[derive(Default)]
pub(super) struct Storage {
    /// Writes session records.
    pub(super) records: Option<stackgw_store::RecordWriter>,
    /// Writes the endpoint list.
    pub(super) endpoint_list: Option<stackgw_store::EndpointListWriter>,
}

impl Driver {
    /// Queues an input, then handles the queued inputs.
    pub(super) fn handle_input(self: &Rc<Self>, input: Input) {
        self.queue_input(input);
        self.handle_queued_inputs();
    }

    /// Passes the queued inputs to the reducer and carries out their effects until no input is left. Does nothing while inputs
    /// are being handled.
    pub(super) fn handle_queued_inputs(self: &Rc<Self>) {
        if self.is_handling.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        while let Some(input) = self.next_input() {
            self.reducer
                .borrow_mut()
                .handle(self.clock.now(), input, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
        self.is_handling.set(false);
        self.resume_waiting_clients();
        self.alarm.set(self.reducer.borrow().next_due());
    }

    /// Takes the next queued input. Once none is left, writes what is queued for clients, which may queue further inputs.
    fn next_input(&self) -> Option<Input> {
        if self.inputs.borrow().is_empty() {
            self.flush_clients();
        }
        self.inputs.borrow_mut().pop_front()
    }

    /// Queues an input. It is handled by the call of `handle_input` that is running, or else by the next one.
    pub(super) fn queue_input(&self, input: Input) {
        self.inputs.borrow_mut().push_back(input);
    }

    /// Starts a task, which runs until it ends or the gateway exits.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Carries out an effect. Its immediate results are queued as inputs.
    pub(super) fn execute(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::AcceptClients(accepts) => self.clients.accepts.set(accepts),
            Effect::ClientWrite {
                client,
                bytes,
                close,
            } => self.write_to_client(client, bytes, close),
            Effect::ClientClose(client) => {
                self.flush_clients();
                drop(self.remove_client(client));
            }
            Effect::ClientCloseIfIdle(client) => self.close_client_if_idle(client),
            Effect::ClientCheckStalled(client, reason) => self.check_stalled(client, reason),
            Effect::ClientDropInput(client) => self.drop_client_input(client),
            Effect::StopListening => self.clients.stops_listening.set(true),
            Effect::MemberConnect(id, address) => self.open_member_connection(id, address),
            Effect::MemberWrite(id, bytes) => self.write_to_member(id, bytes),
            Effect::MemberClose(id) => self.close_member_connection(id),
            Effect::BackendConnect(id, address) => self.open_backend_connection(id, address),
            Effect::BackendSend(id, request) => self.execute_on_backend(id, request),
            Effect::CallCompleted(call, response) => self.respond_to_frontend(call, response),
            Effect::CallStreaming(call, id) => self.respond_to_frontend_with_stream(call, id),
            Effect::OpenWatch(address, after) => self.open_watch(address, after),
            Effect::CloseWatch => self.close_watch(),
            Effect::FetchEndpoints(address) => self.fetch_list(address),
            Effect::GossipDatagram(to, bytes) => {
                send_datagram(self.datagrams.peers.as_deref(), to, &bytes)
            }
            Effect::ClusterDatagram(to, bytes) => {
                send_datagram(self.datagrams.cluster.as_deref(), to, &bytes)
            }
            Effect::StoreRecord(record) => {
                if let Some(writer) = &self.storage.borrow().records {
                    writer.put(record);
                }
            }
            Effect::StoreEndpoints(list) => {
                if let Some(writer) = &self.storage.borrow().endpoint_list {
                    writer.put(*list);
                }
            }
            Effect::StatusReply(number, reply) => self.status_replies.insert(number, reply),
            Effect::Log(text) => info!(self.log, "{text}"),
            Effect::Report(counters) => info!(self.log, "{counters}"),
            Effect::Exit => self.request_exit(),
        }
    }

    /// Ends the output to all clients and sets the flag that makes the gateway exit.
    fn request_exit(&self) {
        self.flush_clients();
        self.finish_writing_to_clients();
        self.exits.set(true);
    }
}

/// Sends a datagram if there is a socket. A datagram that cannot be sent now is lost, as any datagram may be; the protocols
/// resend where needed.
fn send_datagram(socket: Option<&Async<UdpSocket>>, to: SocketAddr, bytes: &[u8]) {
    if let Some(socket) = socket {
        let _ = socket.get_ref().send_to(bytes, to);
    }
}
