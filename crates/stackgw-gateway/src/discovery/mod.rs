//! The protocol of the list service: requests for the endpoint list, HTTP/1.1 responses, lines of a watch, and lists as JSON.
//!
//! The parsers are incremental, do no I/O and limit every size. The reducer applies the lists to the members.

mod http;
mod list;
mod watch;

pub use http::{endpoint_request, HttpError, HttpEvent, HttpLineReader, RequestedList};
pub use list::{endpoint_list, parse_endpoint_list, ListError};
pub use stackgw_bootstrap::{Endpoint as ListEntry, EndpointUpdate as ListUpdate};
pub use watch::{WatchError, WatchEvent, WatchLineError, WatchParser};
