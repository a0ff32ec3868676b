//! Conversion of a member's statuses and headers for the gateway, as listed in
//! `docs/design/flight.md`.

use crate::protocol::{LOAD_HEADER, NEVER_RAN, POSITION_HEADER, RAN_TRAILER, ROLE_HEADER};
use stackgw_gateway::pg::{write, Frame, FrameDecoder, Reply};
use stackgw_gateway::reducer::StreamHeader;
use tonic::metadata::MetadataMap;
use tonic::{Code, Status};

/// SQLSTATE of a request that the member cannot serve because of its role or its replay lag.
const READ_ONLY: &str = "25006";
/// SQLSTATE of a request that the member has rejected.
const OVERLOADED: &str = "53300";
/// SQLSTATE of a request that failed for any other reason, and may have run.
const INTERNAL_ERROR: &str = "XX000";

/// Writes a member's status as an error message of the PostgreSQL protocol, followed by the
/// parameters from [`write_member_parameters`].
pub(super) fn write_error(out: &mut Vec<u8>, status: &Status) {
    write::error(out, false, sqlstate(status), status.message(), None);
    write_member_parameters(out, status.metadata());
}

/// Writes the role, replay position and load report from a member's headers as parameter messages
/// of the PostgreSQL protocol.
pub(super) fn write_member_parameters(out: &mut Vec<u8>, headers: &MetadataMap) {
    for (header, parameter) in [
        (ROLE_HEADER, "node_role"),
        (POSITION_HEADER, "replay_position"),
        (LOAD_HEADER, "server_load"),
    ] {
        let value = headers.get(header).and_then(|value| value.to_str().ok());
        if let Some(value) = value {
            write::status(out, parameter, value);
        }
    }
}

/// Parses the role, replay position and load report in a member's headers. The values are converted
/// to PostgreSQL messages first, so that both protocols share one parser.
pub(super) fn parse_member_parameters(headers: &MetadataMap) -> StreamHeader {
    let mut bytes = Vec::new();
    write_member_parameters(&mut bytes, headers);
    let mut reply = Reply::default();
    for frame in decode_frames(&bytes) {
        // The parser accepts parameters at any point of a reply.
        let _ = reply.add(&frame, usize::MAX);
    }
    StreamHeader {
        primary: reply.primary,
        position: reply.position,
        report: reply.report,
    }
}

/// Splits consecutive messages into frames.
pub(super) fn decode_frames(bytes: &[u8]) -> Vec<Frame> {
    let mut decoder = FrameDecoder::server(bytes.len());
    decoder.feed(bytes);
    std::iter::from_fn(|| decoder.next_frame()?.ok()).collect()
}

fn sqlstate(status: &Status) -> &'static str {
    let trailer = status.metadata().get(RAN_TRAILER);
    let never_ran = trailer.is_some_and(|value| value == NEVER_RAN);
    match status.code() {
        Code::FailedPrecondition if never_ran => READ_ONLY,
        Code::ResourceExhausted | Code::Unavailable if never_ran => OVERLOADED,
        _ => INTERNAL_ERROR,
    }
}
