//! Relaying of bulk streams from members to clients.
//!
//! `stackgw_streams::FlowControl` decides when the next message of a stream is read and which
//! streams are ended. This module provides its clock and timer, stores the buffered messages, and
//! wakes the writers and readers. Messages are not decoded.

mod buffer;
mod reader;
mod streams;
mod writer;

pub(crate) use reader::RelayReader;
pub(crate) use streams::Relay;
pub(crate) use writer::RelayWriter;

use std::sync::Arc;

/// Opens a stream. Returns its writer, for the member's messages, and its reader, for the client;
/// `None` if the maximum number of streams is open.
pub(crate) fn open_stream(relay: &Arc<Relay>) -> Option<(RelayWriter, RelayReader)> {
    let stream = relay.open()?;
    Some((RelayWriter::new(stream.clone()), RelayReader::new(stream)))
}
