//! Headers, actions and commands that the frontend and the backend share.

use arrow_flight::sql::{Any, ProstMessageExt};
use prost::Message;

/// Request header: the request's class.
pub(crate) const CLASS_HEADER: &str = "x-stackgw-class";
/// Request header: the replication group.
pub(crate) const GROUP_HEADER: &str = "x-stackgw-group";
/// Request header: the request's id.
pub(crate) const ID_HEADER: &str = "x-stackgw-id";
/// Request header: the minimum replay position for a read, in Unix milliseconds.
pub(crate) const AFTER_HEADER: &str = "x-stackgw-after";
/// Request header: 1 if the client repeats an earlier attempt.
pub(crate) const RETRY_HEADER: &str = "x-stackgw-repeat";
/// Standard gRPC request header: the client's timeout.
pub(crate) const TIMEOUT_HEADER: &str = "grpc-timeout";

/// Response header from a member: its role.
pub(crate) const ROLE_HEADER: &str = "x-stackgw-role";
/// Response header from a member: its replay position.
pub(crate) const POSITION_HEADER: &str = "x-stackgw-position";
/// Response header from a member: its load report.
pub(crate) const LOAD_HEADER: &str = "x-stackgw-load";
/// Trailer that a member adds to an error status: whether the request had an effect.
pub(crate) const RAN_TRAILER: &str = "x-stackgw-ran";
/// Value of [`RAN_TRAILER`]: the request had no effect and will have none.
pub(crate) const NEVER_RAN: &str = "never";

/// The action with which clients cancel queries at the gateway, and the gateway cancels queries at
/// members.
pub(crate) const CANCEL_FLIGHT_INFO: &str = "CancelFlightInfo";

/// Decodes bytes as a Flight SQL command or ticket; `None` if they are not of type `C`.
pub(crate) fn decode_command<C: ProstMessageExt>(bytes: &[u8]) -> Option<C> {
    Any::decode(bytes).ok()?.unpack().ok()?
}
