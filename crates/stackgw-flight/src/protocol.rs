//! What the frontend and the backend share of the wire: headers, actions, commands.

use arrow_flight::sql::{Any, ProstMessageExt};
use prost::Message;

/// Request header: the request's class.
pub(crate) const CLASS_HEADER: &str = "x-stackgw-class";
/// Request header: the replication group.
pub(crate) const GROUP_HEADER: &str = "x-stackgw-group";
/// Request header: the request's id.
pub(crate) const ID_HEADER: &str = "x-stackgw-id";
/// Request header: a position that the read has to see, in Unix milliseconds.
pub(crate) const AFTER_HEADER: &str = "x-stackgw-after";
/// Request header: 1 where the client repeats an earlier attempt.
pub(crate) const RETRY_HEADER: &str = "x-stackgw-repeat";
/// Request header of gRPC: the client's timeout.
pub(crate) const TIMEOUT_HEADER: &str = "grpc-timeout";

/// Response header of a member: its role.
pub(crate) const ROLE_HEADER: &str = "x-stackgw-role";
/// Response header of a member: its replay position.
pub(crate) const POSITION_HEADER: &str = "x-stackgw-position";
/// Response header of a member: its load report.
pub(crate) const LOAD_HEADER: &str = "x-stackgw-load";
/// Trailer of a member beside a status: whether the request had an effect.
pub(crate) const RAN_TRAILER: &str = "x-stackgw-ran";
/// Value of [`RAN_TRAILER`]: the request had no effect and will have none.
pub(crate) const NEVER_RAN: &str = "never";

/// The action by which a client cancels its query, and the gateway cancels one at a member.
pub(crate) const CANCEL_FLIGHT_INFO: &str = "CancelFlightInfo";

/// Decodes bytes as a command or a ticket of Flight SQL; `None` where they are of another type.
pub(crate) fn decode_command<C: ProstMessageExt>(bytes: &[u8]) -> Option<C> {
    Any::decode(bytes).ok()?.unpack().ok()?
}
