//! Messages that the gateway writes itself. Each function appends its messages to `out`.

use super::code;
use super::message_kind::{client, server};

/// The rest of a field's description after its name: no table, no type, text format.
const FIELD_TAIL: [u8; 18] = [0; 18];
/// The body of NegotiateProtocolVersion: the newest minor version is 0, and 0 unrecognized options are listed.
const NO_OPTIONS: [u8; 8] = [0; 8];

fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends RowDescription, DataRow and CommandComplete of one row with one column `val`; `None` is null.
pub fn row(out: &mut Vec<u8>, value: Option<&[u8]>) {
    let mut description = vec![0, 1];
    description.extend(b"val\0");
    description.extend(FIELD_TAIL);
    message(out, server::ROW_DESCRIPTION, &description);
    let mut data = vec![0, 1];
    data.extend(value.map_or(-1, |value| value.len() as i32).to_be_bytes());
    data.extend_from_slice(value.unwrap_or_default());
    message(out, server::DATA_ROW, &data);
    message(out, server::COMMAND_COMPLETE, b"SELECT 1\0");
}

/// Appends ParameterStatus.
pub fn status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(
        out,
        server::PARAMETER_STATUS,
        format!("{name}\0{value}\0").as_bytes(),
    );
}

/// Appends ReadyForQuery, outside a transaction.
pub fn ready(out: &mut Vec<u8>) {
    message(out, server::READY_FOR_QUERY, b"I");
}

/// Appends EmptyQueryResponse.
pub fn empty(out: &mut Vec<u8>) {
    message(out, server::EMPTY_QUERY_RESPONSE, b"");
}

/// Appends the response to a client's startup: AuthenticationOk, parameters, BackendKeyData and ReadyForQuery.
pub fn startup_response(out: &mut Vec<u8>, process: u32, secret: u32) {
    message(out, server::AUTHENTICATION, &0u32.to_be_bytes());
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        status(out, name, value);
    }
    let mut key = process.to_be_bytes().to_vec();
    key.extend(secret.to_be_bytes());
    message(out, server::BACKEND_KEY_DATA, &key);
    ready(out);
}

/// Appends NegotiateProtocolVersion: the newest minor version is 0, and no unrecognized options are listed.
pub fn negotiate(out: &mut Vec<u8>) {
    message(out, server::NEGOTIATE_PROTOCOL_VERSION, &NO_OPTIONS);
}

/// Appends ErrorResponse; `fatal` means that the connection ends with it. Zero bytes in the texts are dropped.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut body = Vec::new();
    let fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', code),
        (b'M', text),
    ];
    for (field, value) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
        body.push(field);
        body.extend(value.bytes().filter(|b| *b != 0));
        body.push(0);
    }
    body.push(0);
    message(out, server::ERROR_RESPONSE, &body);
}

/// Appends Query: a simple query.
pub fn query(out: &mut Vec<u8>, text: &str) {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(out, client::QUERY, &body);
}

/// Appends a startup packet of version 3.0.
pub fn startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    out.extend((body.len() as u32 + 8).to_be_bytes());
    out.extend(code::VERSION_3.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
}
