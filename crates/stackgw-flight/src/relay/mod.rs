//! Bulk streams on their way from a member to a client.
//!
//! `stackgw_streams::FlowControl` decides which member is read on and which stream is ended. This
//! module has what that needs: its clock, its timer, the buffered messages and the wake-ups of both
//! ends. Messages are not decoded.

mod buffer;
mod reader;
mod streams;
mod writer;

pub(crate) use reader::RelayReader;
pub(crate) use streams::Relay;
pub(crate) use writer::RelayWriter;

use std::sync::Arc;

/// Opens a stream: the end that a member's messages are written to, and the end that a client
/// reads. `None` where as many streams are open as may be.
pub(crate) fn open_stream(relay: &Arc<Relay>) -> Option<(RelayWriter, RelayReader)> {
    let stream = relay.open()?;
    Some((RelayWriter::new(stream.clone()), RelayReader::new(stream)))
}
