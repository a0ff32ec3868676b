//! `stackgw-adapter`: hosts routers behind standard input and output, with one reply for each batch of events.
//!
//! It is the router's host in the simulator: it converts lines to the router's events and the router's actions to lines, and
//! makes no decisions. It has no clock and no sockets; each batch carries the time. Malformed input ends the process with one
//! line on standard error that names the line and the field.

mod host;
mod instance;
mod line;
mod member_pages;
mod names;
mod reply;

use host::{BatchState, Host};
use line::InputError;
use std::error::Error;
use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut reply = String::new();
    for number in 1.. {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes)? == 0 {
            host.end(number)?;
            break;
        }
        let line = line_text(number, &bytes)?;
        if host.handle_line(number, line, &mut reply)? == BatchState::Complete {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
            reply.clear();
        }
    }
    Ok(())
}

/// Decodes a line and strips its line end, which is LF or CRLF.
fn line_text(number: u64, bytes: &[u8]) -> Result<&str, InputError> {
    let error = |problem: &str| InputError {
        line: number,
        field: "text".into(),
        problem: problem.into(),
    };
    let text = std::str::from_utf8(bytes).map_err(|_| error("not UTF-8"))?;
    let text = text
        .strip_suffix('\n')
        .ok_or_else(|| error("the line has no line end"))?;
    Ok(text.strip_suffix('\r').unwrap_or(text))
}

fn main() -> ExitCode {
    // A panic of the router is reported in the reply; the default hook would report it a second time on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stackgw-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
