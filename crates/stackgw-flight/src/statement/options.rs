//! Options of a request.

/// Options of a request, as set by the headers of a call or by the comment of its statement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestOptions {
    /// The request's class: `x-stackgw-class`, or `c` in the comment.
    pub class: Option<String>,
    /// The replication group: `x-stackgw-group`, or `cluster` in the comment.
    pub group: Option<String>,
    /// The request's id: `x-stackgw-id`, or `id` in the comment.
    pub id: Option<String>,
    /// The minimum replay position for a read, in Unix milliseconds: `x-stackgw-after`, or `after`
    /// in the comment.
    pub after: Option<String>,
    /// 1 if the client repeats an earlier attempt: `x-stackgw-repeat`, or `r` in the comment.
    pub retry: Option<String>,
    /// The client's timeout in milliseconds: `grpc-timeout`, or `d` in the comment.
    pub timeout_ms: Option<u64>,
}
