//! The type bytes of messages. The same byte can mean different messages from a client and from a server.

/// Represents startup packets, which have no type byte.
pub const STARTUP: u8 = 0;

/// Messages that clients send.
pub mod client {
    /// Query: a simple query.
    pub const QUERY: u8 = b'Q';
    /// Terminate.
    pub const TERMINATE: u8 = b'X';
    /// Sync.
    pub const SYNC: u8 = b'S';
    /// Parse.
    pub const PARSE: u8 = b'P';
    /// Bind.
    pub const BIND: u8 = b'B';
    /// Describe.
    pub const DESCRIBE: u8 = b'D';
    /// Execute.
    pub const EXECUTE: u8 = b'E';
    /// Close.
    pub const CLOSE: u8 = b'C';
    /// Flush.
    pub const FLUSH: u8 = b'H';
    /// FunctionCall.
    pub const FUNCTION_CALL: u8 = b'F';
    /// CopyData.
    pub const COPY_DATA: u8 = b'd';
    /// CopyDone.
    pub const COPY_DONE: u8 = b'c';
    /// CopyFail.
    pub const COPY_FAIL: u8 = b'f';
    /// PasswordMessage and other responses to an authentication request.
    pub const PASSWORD: u8 = b'p';
}

/// Messages that servers send.
pub mod server {
    /// Authentication requests, and AuthenticationOk.
    pub const AUTHENTICATION: u8 = b'R';
    /// ParameterStatus.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// BackendKeyData: the key for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// ReadyForQuery: ends every response.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// RowDescription.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// DataRow.
    pub const DATA_ROW: u8 = b'D';
    /// CommandComplete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// EmptyQueryResponse.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// ErrorResponse.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// NoticeResponse.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// NotificationResponse.
    pub const NOTIFICATION_RESPONSE: u8 = b'A';
    /// NegotiateProtocolVersion.
    pub const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
}
