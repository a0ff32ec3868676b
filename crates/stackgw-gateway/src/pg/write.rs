//! Messages that the gateway writes itself.

fn message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// One row of one column `val`, with its description and its completion.
pub fn row(out: &mut Vec<u8>, value: Option<&[u8]>) {
    let mut description = vec![0, 1];
    description.extend(b"val\0");
    description.extend([0; 18]);
    message(out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend(value.map_or(-1, |value| value.len() as i32).to_be_bytes());
    data.extend_from_slice(value.unwrap_or_default());
    message(out, b'D', &data);
    message(out, b'C', b"SELECT 1\0");
}

/// ParameterStatus.
pub fn status(out: &mut Vec<u8>, name: &str, value: &str) {
    message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// ReadyForQuery, outside a transaction.
pub fn ready(out: &mut Vec<u8>) {
    message(out, b'Z', b"I");
}

/// EmptyQueryResponse.
pub fn empty(out: &mut Vec<u8>) {
    message(out, b'I', b"");
}

/// What follows a client's startup: welcome, parameters, key for cancelling, ReadyForQuery.
pub fn welcome(out: &mut Vec<u8>, process: u32, secret: u32) {
    message(out, b'R', &0u32.to_be_bytes());
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
    message(out, b'K', &key);
    ready(out);
}

/// NegotiateProtocolVersion: this minor version is the newest, no option is known.
pub fn negotiate(out: &mut Vec<u8>) {
    message(out, b'v', &[0; 8]);
}

/// ErrorResponse; `fatal` where the connection ends with it.
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
    message(out, b'E', &body);
}

/// A simple query.
pub fn query(out: &mut Vec<u8>, text: &str) {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(out, b'Q', &body);
}

/// The startup packet.
pub fn startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    out.extend((body.len() as u32 + 8).to_be_bytes());
    out.extend(super::code::VERSION_3.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
}
