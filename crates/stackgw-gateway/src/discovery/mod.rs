//! The protocol of the list service: requests for the endpoint list, HTTP/1.1 answers, lines of a watch, and lists as JSON.
//!
//! All of it is incremental and without I/O, and every size has a limit. What a list means for the members is the reducer's.

mod http;
mod list;
mod watch;

pub use http::{endpoint_request, HttpError, HttpEvent, HttpLineReader, RequestedList};
pub use list::{endpoint_list, parse_endpoint_list, ListError};
pub use stackgw_bootstrap::{Endpoint as ListEntry, EndpointUpdate as ListUpdate};
pub use watch::{WatchError, WatchEvent, WatchLineError, WatchParser};
